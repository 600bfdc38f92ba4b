package org.hyssophitch.proxy;

import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Settings of one proxy process. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone of the entry host
 * @param listen address for callers, {@code ip:port}
 * @param agent address of the local agent, {@code ip:port}
 * @param timelineEvents number of events kept in the timeline
 */
public record ProxySettings(String host, String zone, String listen, String agent, int timelineEvents) {

    private static final int DEFAULT_TIMELINE_EVENTS = 20_000;
    private static final int MAX_TIMELINE_EVENTS = 1_000_000;

    /** Reads the settings from the root mapping of a settings file. */
    public static ProxySettings from(YamlMapping m) {
        return new ProxySettings(
                m.name("host"),
                m.name("zone"),
                m.address("listen"),
                m.address("agent"),
                m.integer("timeline-events", 100, MAX_TIMELINE_EVENTS, DEFAULT_TIMELINE_EVENTS));
    }
}
