package org.hyssophitch.core.membership;

/**
 * Membership record of one entry host. Immutable.
 *
 * <p>The component names are written to the JSON status of an agent.
 *
 * @param host name of the entry host
 * @param incarnation incarnation of its agent process; the record with the larger incarnation wins
 * @param revision revision of the member's own record within its incarnation
 * @param state membership state
 * @param zone availability zone
 * @param agentAddress IP address and port for datagrams and connections of other agents
 * @param proxyAddress IP address and port for callers
 * @param proxyIncarnation incarnation of the proxy process; 0 while no proxy is connected
 * @param isAccepting whether callers may be directed to the proxy
 * @param callsInFlight calls in flight at the proxy
 * @param configurationVersion version of the configuration in force
 * @param isCutOff whether the host gets no answer from any backend server
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
        long configurationVersion,
        boolean isCutOff) {

    /** Creates the record of a host that reaches the backend servers. */
    public Member(
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
        this(
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
                configurationVersion,
                false);
    }

    /** Returns this record with another state. */
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
                        configurationVersion,
                        isCutOff);
    }

    /** Returns this record with another incarnation, whose revisions start at 0. */
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
                        configurationVersion,
                        isCutOff);
    }

    /** Returns this record with another revision. */
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
                        configurationVersion,
                        isCutOff);
    }

    /** Returns this record with another status of its proxy. */
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
                configurationVersion,
                isCutOff);
    }

    /** Returns this record with another configuration version in force. */
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
                        value,
                        isCutOff);
    }

    /** Returns this record with another state of the connection to the backend servers. */
    public Member withCutOff(boolean value) {
        return value == isCutOff
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
                        configurationVersion,
                        value);
    }

    /** Returns whether this record supersedes another record of the same host: by incarnation, revision, then state. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether the host counts as running; a suspected host does until its suspicion times out. */
    public boolean isLive() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
