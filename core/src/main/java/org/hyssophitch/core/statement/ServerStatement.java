package org.hyssophitch.core.statement;

/** One statement of a backend server about itself, made in an answer. Every statement is immutable. */
public sealed interface ServerStatement {

    /**
     * The server takes a limited number of requests from all entry hosts together, for as long as its answers say so.
     *
     * @param perSecond requests per second; positive and finite
     */
    record RateLimit(double perSecond) implements ServerStatement {}

    /** The server is leaving and takes no new work, for as long as its process lives. */
    record Leaving() implements ServerStatement {}

    /**
     * The server turned the request away and wants nothing from this entry host for a time.
     *
     * @param micros the time in microseconds from the answer on
     */
    record Wait(long micros) implements ServerStatement {}

    /**
     * The server is cold, as after its start, and takes few requests.
     *
     * @param micros the time in microseconds from the answer on for which it remains cold; 0 if it is not cold
     */
    record Cold(long micros) implements ServerStatement {}

    /**
     * A statement whose value can't be used. It has no effect but a log line.
     *
     * @param name name of the statement
     * @param value value as received, shortened
     */
    record Unusable(String name, String value) implements ServerStatement {}
}
