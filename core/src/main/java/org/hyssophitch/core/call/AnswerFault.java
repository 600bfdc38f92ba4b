package org.hyssophitch.core.call;

/** Reasons for which an answer of a backend server is not taken as the whole answer to a request. */
public enum AnswerFault {
    /** The answer belongs to another request. */
    FOREIGN,
    /** The bytes arrived while no request was waiting for an answer. */
    UNSOLICITED,
    /** The server closed the connection before the answer was complete. */
    CUT_OFF,
    /** The connection was reset before the answer was complete. */
    RESET,
    /** The bytes are no answer in the protocol. */
    MALFORMED,
    /** A second answer of the server has filled a part of the body. */
    REPEATED,
    /** The server sent more bytes than it may that are no part of an answer. */
    EXCESSIVE,
    /** The answer says that the request was not run, and the server gave no proof of it. */
    UNTRUSTED_REFUSAL
}
