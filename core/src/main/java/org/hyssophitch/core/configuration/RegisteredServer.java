package org.hyssophitch.core.configuration;

/**
 * A backend server that registered itself instead of being listed in the configuration. Immutable.
 *
 * <p>The component names are written to the JSON status of an agent.
 *
 * @param service name of the service that it belongs to
 * @param server the server; its name is unique to each start of the server
 * @param coldMillis remaining warm-up time in milliseconds, during which the server is slow
 * @param sequence number that rises with each statement of the server about itself; 0 if it states none
 */
public record RegisteredServer(String service, BackendServer server, int coldMillis, long sequence) {

    /** Creates a registration without a sequence number. */
    public RegisteredServer(String service, BackendServer server, int coldMillis) {
        this(service, server, coldMillis, 0);
    }

    /** Returns this server with the given remaining warm-up time, or this instance when nothing changes. */
    public RegisteredServer withColdMillis(int value) {
        return value == coldMillis ? this : new RegisteredServer(service, server, value, sequence);
    }
}
