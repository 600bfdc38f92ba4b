package org.hyssophitch.wire.codec;

import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.distribution.ConfigurationChange;
import org.hyssophitch.core.timeline.HybridTimestamp;
import org.hyssophitch.wire.generated.Wire;

/** Converts messages to and from the protobuf frames sent on connections to agents. Stateless. */
public final class FrameCodec {

    private FrameCodec() {}

    /** Encodes the status that a proxy reports to its agent. */
    public static Wire.Frame encode(ProxyStatus s, HybridTimestamp clock) {
        Wire.ProxyStatus body = Wire.ProxyStatus.newBuilder()
                .setIncarnation(s.incarnation())
                .setAccepting(s.isAccepting())
                .setCallsInFlight(s.callsInFlight())
                .setConfigurationVersion(s.configurationVersion())
                .addAllLoads(MemberCodec.encodeLoads(s.loads()))
                .addAllSuspicions(MemberCodec.encodeSuspicions(s.suspicions()))
                .build();
        return frame(clock).setProxyStatus(body).build();
    }

    /** Decodes the status that a proxy reports to its agent. */
    public static ProxyStatus decode(Wire.ProxyStatus s) {
        return new ProxyStatus(
                s.getIncarnation(),
                s.getAccepting(),
                s.getCallsInFlight(),
                s.getConfigurationVersion(),
                MemberCodec.decodeLoads(s.getLoadsList()),
                MemberCodec.decodeSuspicions(s.getSuspicionsList()));
    }

    /** Encodes an update from an agent to its local proxy. */
    public static Wire.Frame encode(ProxyUpdate u, HybridTimestamp clock) {
        Wire.ProxyUpdate.Builder body = Wire.ProxyUpdate.newBuilder()
                .addAllMembers(MemberCodec.encodeMembers(u.members()))
                .addAllLeaving(u.leaving())
                .addAllLoads(MemberCodec.encodeLoads(u.loads()))
                .addAllSuspicions(MemberCodec.encodeSuspicions(u.suspicions()));
        u.registrations().map(RegistrationCodec::encode).ifPresent(body::setRegistrations);
        return frame(clock).setProxyUpdate(body).build();
    }

    /** Decodes an update from an agent to its local proxy. */
    public static ProxyUpdate decode(Wire.ProxyUpdate u) {
        return new ProxyUpdate(
                MemberCodec.decodeMembers(u.getMembersList()),
                Set.copyOf(u.getLeavingList()),
                MemberCodec.decodeLoads(u.getLoadsList()),
                MemberCodec.decodeSuspicions(u.getSuspicionsList()),
                u.hasRegistrations() ? Optional.of(RegistrationCodec.decode(u.getRegistrations())) : Optional.empty());
    }

    /** Encodes a complete configuration for the local proxy. */
    public static Wire.Frame encode(Configuration c, HybridTimestamp clock) {
        return frame(clock).setConfiguration(ConfigurationCodec.encode(c)).build();
    }

    /** Encodes a configuration change for another agent. */
    public static Wire.Frame encode(ConfigurationChange c, HybridTimestamp clock) {
        return frame(clock).setConfiguration(ConfigurationCodec.encode(c)).build();
    }

    /** Encodes a request for the configuration changes since a version. */
    public static Wire.Frame encodeFetch(long haveVersion, HybridTimestamp clock) {
        return frame(clock)
                .setFetch(Wire.FetchConfiguration.newBuilder().setHaveVersion(haveVersion))
                .build();
    }

    /** Returns the sender's clock reading at the time of sending. */
    public static HybridTimestamp clock(Wire.Frame f) {
        return MemberCodec.decode(f.getClock());
    }

    private static Wire.Frame.Builder frame(HybridTimestamp clock) {
        return Wire.Frame.newBuilder().setClock(MemberCodec.encode(clock));
    }
}
