package org.hyssophitch.bench.day;

/**
 * Something that happens during a day. Immutable.
 *
 * @param kind what happens
 * @param atMillis time in milliseconds from the first request on
 * @param forMillis how long it lasts in milliseconds
 * @param part part of the servers, hosts or callers that it strikes, from 0 to 1
 * @param strength how strong it is; see {@link Kind}
 * @param service the service that it strikes; empty for all
 */
public record DayEvent(
        Kind kind, long startMillis, long durationMillis, double fraction, double strength, String service) {

    /** What may happen. */
    public enum Kind {
        /** Callers send {@code strength} times as many requests. */
        BURST,
        /** Servers take {@code strength} times as long. */
        SLOW_SERVERS,
        /** Servers fail {@code strength} of their requests at once, while they say that they are well. */
        GREY_SERVERS,
        /** Servers run requests and lose {@code strength} of the answers. */
        LOST_ANSWERS,
        /** Servers lose what they run and are away. */
        CRASHED_SERVERS,
        /** Servers leave as planned, and are gone afterwards. */
        LEAVING_SERVERS,
        /** For each server that is struck another one of its service starts beside it, cold. */
        NEW_SERVERS,
        /** Entry hosts are killed, and start again. */
        KILLED_HOSTS,
        /** Callers leave after {@code strength} times the target latency. */
        EARLY_LEAVING,
        /** Callers repeat at once and {@code strength} times as often. */
        IMPATIENT_CALLERS
    }
}
