package org.hyssophitch.core.membership;

/**
 * What is known of one entry host. Immutable.
 *
 * @param host name of the entry host
 * @param incarnation incarnation of its agent process; a larger one replaces a smaller one
 * @param revision counter of the member's own statements within its incarnation
 * @param state state in membership
 * @param zone availability zone
 * @param agentAddress IP address and port for agents' datagrams and connections
 * @param proxyAddress IP address and port for callers
 * @param proxyIncarnation incarnation of the proxy process; 0 while none is connected
 * @param isAccepting whether callers may be sent to the proxy
 * @param callsInFlight calls in flight at the proxy
 * @param configurationVersion version of the configuration in force
 */
public record Member(
        String host,
        long incarnation,
        int revision,
        MemberState state,
        String zone,
        String agentAddress,
        String proxyAddress,
        long proxyIncarnation,
        boolean isAccepting,
        int callsInFlight,
        long configurationVersion) {

    /** Returns this member in another state, or this instance when nothing changes. */
    public Member withState(MemberState value) {
        return value == state
                ? this
                : new Member(
                        host,
                        incarnation,
                        revision,
                        value,
                        zone,
                        agentAddress,
                        proxyAddress,
                        proxyIncarnation,
                        isAccepting,
                        callsInFlight,
                        configurationVersion);
    }

    /** Returns this member with a later incarnation, whose statements begin anew. */
    public Member withIncarnation(long value) {
        return value == incarnation
                ? this
                : new Member(
                        host,
                        value,
                        0,
                        state,
                        zone,
                        agentAddress,
                        proxyAddress,
                        proxyIncarnation,
                        isAccepting,
                        callsInFlight,
                        configurationVersion);
    }

    /** Returns this member with a later revision of its own statements. */
    public Member withRevision(int value) {
        return value == revision
                ? this
                : new Member(
                        host,
                        incarnation,
                        value,
                        state,
                        zone,
                        agentAddress,
                        proxyAddress,
                        proxyIncarnation,
                        isAccepting,
                        callsInFlight,
                        configurationVersion);
    }

    /** Returns this member with another statement on its proxy. */
    public Member withProxy(long newProxyIncarnation, boolean newIsAccepting, int newCallsInFlight) {
        return new Member(
                host,
                incarnation,
                revision,
                state,
                zone,
                agentAddress,
                proxyAddress,
                newProxyIncarnation,
                newIsAccepting,
                newCallsInFlight,
                configurationVersion);
    }

    /** Returns this member with another configuration version in force. */
    public Member withConfigurationVersion(long value) {
        return value == configurationVersion
                ? this
                : new Member(
                        host,
                        incarnation,
                        revision,
                        state,
                        zone,
                        agentAddress,
                        proxyAddress,
                        proxyIncarnation,
                        isAccepting,
                        callsInFlight,
                        value);
    }

    /** Returns whether this statement replaces the other one on the same host. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether the host counts as running. */
    public boolean isLive() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
