package org.hyssophitch.proxy;

import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Settings of one proxy process. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone of the entry host
 * @param listenHost IP address for callers
 * @param listenPort TCP port for callers
 * @param agent address of the local agent, {@code ip:port}
 * @param timelineEvents number of events kept for the time line
 */
public record ProxySettings(
        String host, String zone, String listenHost, int listenPort, String agent, int timelineEvents) {

    private static final String ADDRESS = "[0-9a-fA-F.:]+:\\d{1,5}";
    private static final String ADDRESS_HELP = "an address of the form ip:port";
    private static final String NAME = "[a-z0-9][a-z0-9-]{0,62}";
    private static final String NAME_HELP = "a name of lower-case letters, digits and hyphens";
    private static final int DEFAULT_EVENTS = 20_000;
    private static final int MAX_EVENTS = 1_000_000;

    /** Takes the settings out of a settings file. */
    public static ProxySettings from(YamlMapping m) {
        String listen = m.text("listen", ADDRESS, ADDRESS_HELP);
        int colon = listen.lastIndexOf(':');
        return new ProxySettings(
                m.text("host", NAME, NAME_HELP),
                m.text("zone", NAME, NAME_HELP),
                listen.substring(0, Math.max(0, colon)),
                listen.matches(ADDRESS) ? Integer.parseInt(listen.substring(colon + 1)) : 0,
                m.text("agent", ADDRESS, ADDRESS_HELP),
                m.integer("timeline-events", 100, MAX_EVENTS, DEFAULT_EVENTS));
    }
}
