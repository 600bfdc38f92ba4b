package org.hyssophitch.wire.codec;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hyssophitch.core.control.AgedLimitNews;
import org.hyssophitch.core.control.AgentMessage;
import org.hyssophitch.core.membership.Heartbeat;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.hyssophitch.core.timeline.HybridTimestamp;
import org.hyssophitch.wire.generated.Wire;

/** Converts agent messages to and from protobuf datagrams. Stateless. */
public final class AgentMessageCodec {

    private static final Heartbeat.Kind[] KINDS = Heartbeat.Kind.values();

    private AgentMessageCodec() {}

    /** Encodes a message, with the sender's clock reading, as a datagram. */
    public static Wire.AgentDatagram encode(AgentMessage m, HybridTimestamp clock) {
        Wire.AgentDatagram.Builder b = Wire.AgentDatagram.newBuilder()
                .setClock(MemberCodec.encode(clock))
                .setSender(MemberCodec.encode(m.sender()))
                .addAllMembers(MemberCodec.encodeMembers(m.members()))
                .addAllLoads(MemberCodec.encodeLoads(m.loads()))
                .addAllLeaving(MemberCodec.encodeNotices(m.leaving()))
                .addAllSuspicions(MemberCodec.encodeSuspicions(m.suspicions()))
                .addAllRegistrations(RegistrationCodec.encodeNotices(m.registrations()))
                .addAllLimits(m.limits().stream().map(AgentMessageCodec::encode).toList())
                .addAllQuotaAsks(QuotaCodec.encodeAsks(m.quotaAsks()))
                .addAllQuotaGrants(QuotaCodec.encodeGrants(m.quotaGrants()))
                .addAllClearances(MemberCodec.encodeClearances(m.clearances()));
        m.heartbeat().ifPresent(h -> b.setHeartbeat(encode(h)));
        m.repeatedSuspicions().ifPresent(b::setRepeatedSuspicions);
        m.storeReachableMicros().ifPresent(b::setStoreReachableMicros);
        return b.build();
    }

    /** Decodes the message in a datagram; {@link #clock} returns its clock reading. */
    public static AgentMessage decode(Wire.AgentDatagram d) {
        Optional<Heartbeat> heartbeat = d.hasHeartbeat() ? Optional.of(decode(d.getHeartbeat())) : Optional.empty();
        OptionalInt repeatedSuspicions =
                d.hasRepeatedSuspicions() ? OptionalInt.of(d.getRepeatedSuspicions()) : OptionalInt.empty();
        OptionalLong storeReachable = d.hasStoreReachableMicros()
                ? OptionalLong.of(Math.max(0, d.getStoreReachableMicros()))
                : OptionalLong.empty();
        return AgentMessage.builder(MemberCodec.decode(d.getSender()))
                .heartbeat(heartbeat)
                .members(MemberCodec.decodeMembers(d.getMembersList()))
                .loads(MemberCodec.decodeLoads(d.getLoadsList()))
                .leaving(MemberCodec.decodeNotices(d.getLeavingList()))
                .suspicions(MemberCodec.decodeSuspicions(d.getSuspicionsList()))
                .registrations(RegistrationCodec.decodeNotices(d.getRegistrationsList()))
                .limits(d.getLimitsList().stream()
                        .map(AgentMessageCodec::decode)
                        .toList())
                .quotaAsks(QuotaCodec.decodeAsks(d.getQuotaAsksList()))
                .quotaGrants(QuotaCodec.decodeGrants(d.getQuotaGrantsList()))
                .clearances(MemberCodec.decodeClearances(d.getClearancesList()))
                .storeReachableMicros(storeReachable)
                .repeatedSuspicions(repeatedSuspicions)
                .build();
    }

    /** Returns the sender's clock reading at the time of sending. */
    public static HybridTimestamp clock(Wire.AgentDatagram d) {
        return MemberCodec.decode(d.getClock());
    }

    private static Wire.LimitNews encode(AgedLimitNews n) {
        return Wire.LimitNews.newBuilder()
                .setServer(n.server())
                .setPerSecond(n.limit().map(RateLimit::perSecond).orElse(0.0))
                .setAgeMicros(n.ageMicros())
                .build();
    }

    private static AgedLimitNews decode(Wire.LimitNews n) {
        double perSecond = n.getPerSecond();
        boolean isLimit = perSecond > 0 && Double.isFinite(perSecond);
        return new AgedLimitNews(
                n.getServer(),
                isLimit ? Optional.of(new RateLimit(perSecond)) : Optional.empty(),
                Math.max(0, n.getAgeMicros()));
    }

    private static Wire.Heartbeat encode(Heartbeat h) {
        return Wire.Heartbeat.newBuilder()
                .setKind(h.kind().ordinal())
                .setSequence(h.sequence())
                .setTarget(h.target())
                .setForwardTo(h.forwardTo())
                .build();
    }

    private static Heartbeat decode(Wire.Heartbeat h) {
        Heartbeat.Kind kind = KINDS[Math.floorMod(h.getKind(), KINDS.length)];
        return new Heartbeat(kind, h.getSequence(), h.getTarget(), "", h.getForwardTo());
    }
}
