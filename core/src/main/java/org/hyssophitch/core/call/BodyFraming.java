package org.hyssophitch.core.call;

/** Ways in which an answer shows where its body ends. */
public enum BodyFraming {
    /** Its head states the length. */
    LENGTH,
    /** It is sent in chunks, the last of which is empty. */
    CHUNKED,
    /** The server closes the connection. */
    UNTIL_CLOSE
}
