package org.hyssophitch.core.configuration;

/**
 * What a backend server takes while it is cold, as after its start. Immutable.
 *
 * @param periodMillis time in milliseconds for which a server is cold after its start; 0 if not at all
 * @param requestsPerSecond requests per second that a cold server takes from all entry hosts together; 0 for no limit
 */
public record ColdRule(int periodMillis, double requestsPerSecond) {

    /** Rule of a service whose servers have no limit while they are cold. */
    public static final ColdRule NONE = new ColdRule(0, 0);

    /** Returns whether a cold server has a limit. */
    public boolean hasLimit() {
        return requestsPerSecond > 0;
    }
}
