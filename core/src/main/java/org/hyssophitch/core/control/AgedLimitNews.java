package org.hyssophitch.core.control;

import java.util.Optional;

import org.hyssophitch.core.statement.LimitNews;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;

/**
 * What a host has heard of a server's rate limit, as sent between processes, with its age in place of a timestamp, so
 * that it doesn't depend on synchronized clocks. Immutable.
 *
 * @param server name of the server process
 * @param limit the limit; empty if the server no longer states one
 * @param ageMicros time in microseconds since some host heard it from the server, when it was sent
 */
public record AgedLimitNews(String server, Optional<RateLimit> limit, long ageMicros) {

    /** Converts news to be sent now. */
    public static AgedLimitNews of(LimitNews n, long nowMicros) {
        return new AgedLimitNews(n.server(), n.limit(), Math.max(0, nowMicros - n.heardMicros()));
    }

    /** Returns the news with a timestamp of the receiver's clock. */
    public LimitNews toLimitNews(long nowMicros) {
        return new LimitNews(server, limit, nowMicros - ageMicros);
    }
}
