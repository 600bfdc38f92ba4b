package org.hyssophitch.core.configuration;

/**
 * A backend server that registered itself instead of being listed in the configuration. Immutable.
 *
 * @param service name of the service that it belongs to
 * @param server the server; its name is unique to each start of the server
 * @param warmUpMillis remaining warm-up time in milliseconds, during which the server is slow
 */
public record RegisteredServer(String service, BackendServer server, int warmUpMillis) {

    /** Returns this server with the given remaining warm-up time, or this instance when nothing changes. */
    public RegisteredServer withWarmUpMillis(int value) {
        return value == warmUpMillis ? this : new RegisteredServer(service, server, value);
    }
}
