package org.hyssophitch.entry.soak;

/** What a caller, a server or the operator observed. Times are milliseconds since the start of the run. */
sealed interface Event {

    long millis();

    /**
     * A caller has sent a whole request.
     *
     * @param startMillis time of its first byte; the event's own time is that of its last byte
     * @param sequence position among the requests of its connection, from 0
     */
    record Sent(long startMillis, long millis, Request request, String host, String connection, int sequence)
            implements Event {}

    /** A caller has received a whole answer. */
    record Answered(long millis, String connection, int sequence, HttpMessage answer) implements Event {}

    /** A connection has ended before the answer to a request was complete. */
    record Unanswered(long millis, String connection, int sequence, ConnectionEnd end, String detail)
            implements Event {}

    /** A connection carried bytes that belong to no answer. */
    record StrayBytes(long millis, String connection, String host, String detail) implements Event {}

    /** A server has read a whole request and works on it. */
    record RunStarted(long millis, String requestId, String server, int run) implements Event {}

    /** A server has ended its work on a request. */
    record RunEnded(long millis, String requestId, String server, int run, RunEnd end) implements Event {}

    /** The operator or the system has changed the state of a host's process. */
    record HostChanged(long millis, String host, HostChange change) implements Event {}

    /** Why a connection ended without an answer. */
    enum ConnectionEnd {
        CLOSED,
        RESET,
        /** In the middle of an answer. */
        CUT_OFF,
        /** The caller left on purpose. */
        LEFT,
        /** The caller left because the deadline of a request had passed. */
        DEADLINE
    }

    /** How a server ended its work. */
    enum RunEnd {
        /** The server writes a whole answer from this moment on. */
        ANSWERED,
        /** The server closed the connection, or answered in part, not at all or with an error. */
        BROKE_OFF
    }

    /** State change of a host's process. */
    enum HostChange {
        STARTED,
        READY,
        SIGHUP,
        SIGTERM,
        SIGKILL,
        PAUSED,
        RESUMED,
        /** The process has ended. */
        EXITED
    }
}
