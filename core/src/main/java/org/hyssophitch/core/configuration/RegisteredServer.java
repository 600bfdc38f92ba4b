package org.hyssophitch.core.configuration;

/**
 * A backend server that registered itself instead of standing in the configuration. Immutable.
 *
 * @param service name of the service that it serves
 * @param server the server; its name is unique for each start of the server
 * @param warmUpMillis time in milliseconds for which it is still slow after its start
 */
public record RegisteredServer(String service, BackendServer server, int warmUpMillis) {

    /** Returns this server with another time for which it stays slow, or this instance when nothing changes. */
    public RegisteredServer withWarmUpMillis(int value) {
        return value == warmUpMillis ? this : new RegisteredServer(service, server, value);
    }
}
