package org.hyssophitch.core.call;

/** What becomes of an answer whose body holds, or may end inside, the head of another answer. */
public enum EmbeddedHeadVerdict {
    /** It was relayed: the server has ended the answer where its length says, so the head is content. */
    CONTENT,
    /** The answer was not taken: the head is that of a second answer. */
    REPEATED,
    /** It was relayed; nothing tells whether the head is content. */
    UNDECIDED
}
