package org.hyssophitch.http;

/** Whether a response on a connection to a backend server belongs to the request in flight. */
enum ResponseMatch {
    /** It is an answer to the request. */
    ANSWER,
    /** It says that the request was not run, and bears the request's id. */
    REFUSAL,
    /**
     * It says that a request was not run, but not which one. It proves something about the request in flight only if
     * it can't be a late copy of an earlier refusal.
     */
    UNIDENTIFIED_REFUSAL,
    /** It belongs to another request. */
    FOREIGN,
    /** Its head contradicts itself, as when a server stops in a head and begins the response anew. */
    MALFORMED
}
