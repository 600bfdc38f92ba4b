package org.hyssophitch.agent;

import java.util.List;

import org.hyssophitch.wire.yaml.YamlMapping;

/**
 * Settings of one agent process. Immutable.
 *
 * @param host name of the entry host
 * @param zone availability zone of the entry host
 * @param agent address for other agents and the local proxy, {@code ip:port}
 * @param http HTTP address for address lookups by callers and for operators, {@code ip:port}
 * @param proxy address at which callers reach the local proxy, {@code ip:port}
 * @param platform address of the platform, {@code ip:port}
 * @param seeds addresses of other agents to contact before the host list is known
 * @param objectApiCallsPerSecond this host's share of the object API's rate limit, in calls per second
 * @param timelineEvents number of events kept in the timeline
 */
public record AgentSettings(
        String host,
        String zone,
        String agent,
        String http,
        String proxy,
        String platform,
        List<String> seeds,
        double objectApiCallsPerSecond,
        int timelineEvents) {

    private static final double DEFAULT_OBJECT_API_CALLS_PER_SECOND = 5;
    private static final int DEFAULT_TIMELINE_EVENTS = 2_000;
    private static final int MAX_TIMELINE_EVENTS = 100_000;

    /** Reads the settings from the root mapping of a settings file. */
    public static AgentSettings from(YamlMapping m) {
        return new AgentSettings(
                m.name("host"),
                m.name("zone"),
                m.address("agent"),
                m.address("http"),
                m.address("proxy"),
                m.address("platform"),
                m.texts("seeds"),
                m.decimal("object-api-calls-per-second", 0.1, 1_000, DEFAULT_OBJECT_API_CALLS_PER_SECOND),
                m.integer("timeline-events", 100, MAX_TIMELINE_EVENTS, DEFAULT_TIMELINE_EVENTS));
    }
}
