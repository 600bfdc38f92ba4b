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
 * @param format format of the record, {@link #FORMAT} as this release writes it; 0 for a record whose later fields are
 *     unknown, such as one that an earlier release has passed on
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
        boolean isCutOff,
        int format) {

    /** Format of the records that this release writes; it grows with each field that is added. */
    public static final int FORMAT = 1;

    /** Creates a record of format 0. */
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
                false,
                0);
    }

    /** Returns a builder that starts with the values of this record. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Returns this record with another state. */
    public Member withState(MemberState value) {
        return toBuilder().state(value).build();
    }

    /** Returns this record with another incarnation, whose revisions start at 0. */
    public Member withIncarnation(long value) {
        return value == incarnation
                ? this
                : toBuilder().incarnation(value).revision(0).build();
    }

    /** Returns this record with another revision. */
    public Member withRevision(int value) {
        return toBuilder().revision(value).build();
    }

    /** Returns this record with another status of its proxy. */
    public Member withProxy(long newProxyIncarnation, boolean newIsAccepting, int newCallsInFlight) {
        return toBuilder()
                .proxyIncarnation(newProxyIncarnation)
                .accepting(newIsAccepting)
                .callsInFlight(newCallsInFlight)
                .build();
    }

    /** Returns this record with another configuration version in force. */
    public Member withConfigurationVersion(long value) {
        return toBuilder().configurationVersion(value).build();
    }

    /** Returns this record with another state of the connection to the backend servers. */
    public Member withCutOff(boolean value) {
        return toBuilder().cutOff(value).build();
    }

    /** Returns this record with another format. */
    public Member withFormat(int value) {
        return toBuilder().format(value).build();
    }

    /**
     * Returns whether this record supersedes another record of the same host: by incarnation, revision, then state.
     * Of two that are equal in these, the one of the later format has the fields that an earlier release drops.
     */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        return format > other.format;
    }

    /** Returns whether the host counts as running; a suspected host does until its suspicion times out. */
    public boolean isLive() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** Builder of a record. Not thread-safe. */
    public static final class Builder {

        private final String host;
        private long incarnation;
        private int revision;
        private MemberState state;
        private final String zone;
        private final String agentAddress;
        private final String proxyAddress;
        private long proxyIncarnation;
        private boolean isAccepting;
        private int callsInFlight;
        private long configurationVersion;
        private boolean isCutOff;
        private int format;

        private Builder(Member m) {
            host = m.host;
            incarnation = m.incarnation;
            revision = m.revision;
            state = m.state;
            zone = m.zone;
            agentAddress = m.agentAddress;
            proxyAddress = m.proxyAddress;
            proxyIncarnation = m.proxyIncarnation;
            isAccepting = m.isAccepting;
            callsInFlight = m.callsInFlight;
            configurationVersion = m.configurationVersion;
            isCutOff = m.isCutOff;
            format = m.format;
        }

        public Builder incarnation(long value) {
            incarnation = value;
            return this;
        }

        public Builder revision(int value) {
            revision = value;
            return this;
        }

        public Builder state(MemberState value) {
            state = value;
            return this;
        }

        public Builder proxyIncarnation(long value) {
            proxyIncarnation = value;
            return this;
        }

        public Builder accepting(boolean value) {
            isAccepting = value;
            return this;
        }

        public Builder callsInFlight(int value) {
            callsInFlight = value;
            return this;
        }

        public Builder configurationVersion(long value) {
            configurationVersion = value;
            return this;
        }

        public Builder cutOff(boolean value) {
            isCutOff = value;
            return this;
        }

        public Builder format(int value) {
            format = value;
            return this;
        }

        /** Returns the record. */
        public Member build() {
            return new Member(
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
                    isCutOff,
                    format);
        }
    }
}
