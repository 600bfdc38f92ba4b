package org.hyssophitch.core.statement;

import java.util.Optional;

import org.hyssophitch.core.statement.ServerStatement.RateLimit;

/**
 * What one entry host has heard of a server's rate limit and tells the others. Immutable.
 *
 * @param server name of the server process
 * @param limit the limit; empty if the server no longer states one
 * @param heardMicros time in microseconds, by this host's clock, at which some host heard it from the server
 */
public record LimitNews(String server, Optional<RateLimit> limit, long heardMicros) {}
