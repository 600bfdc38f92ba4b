package org.hyssophitch.core.call;

/** Parts of an HTTP response that can break the grammar of the protocol. */
public enum AnswerPart {
    /** The protocol's name and version. */
    VERSION,
    /** The status code. */
    STATUS,
    /** The reason phrase. */
    REASON,
    /** The name of a field in the head. */
    FIELD_NAME,
    /** The line of a field in the head, besides its name. */
    FIELD,
    /** How the head states the end of the body. */
    FRAMING,
    /** The chunks of the body. */
    BODY,
    /** The fields behind the chunks of the body. */
    TRAILER
}
