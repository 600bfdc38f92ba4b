package org.hyssophitch.wire.codec;

import java.util.List;

import org.hyssophitch.core.control.AgedLoadReport;
import org.hyssophitch.core.control.LeavingNotice;
import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.Fingerprint;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.timeline.HybridTimestamp;
import org.hyssophitch.wire.generated.Wire;

/** Converts the messages used in both datagrams and frames to and from protobuf. Stateless. */
final class MemberCodec {

    private static final MemberState[] STATES = MemberState.values();

    private MemberCodec() {}

    static Wire.Timestamp encode(HybridTimestamp t) {
        return Wire.Timestamp.newBuilder()
                .setMicros(t.micros())
                .setCounter(t.counter())
                .build();
    }

    static HybridTimestamp decode(Wire.Timestamp t) {
        return new HybridTimestamp(t.getMicros(), t.getCounter());
    }

    static Wire.Member encode(Member m) {
        return Wire.Member.newBuilder()
                .setHost(m.host())
                .setIncarnation(m.incarnation())
                .setRevision(m.revision())
                .setState(m.state().ordinal())
                .setZone(m.zone())
                .setAgentAddress(m.agentAddress())
                .setProxyAddress(m.proxyAddress())
                .setProxyIncarnation(m.proxyIncarnation())
                .setAccepting(m.isAccepting())
                .setCallsInFlight(m.callsInFlight())
                .setConfigurationVersion(m.configurationVersion())
                .setCutOff(m.isCutOff())
                .setFormat(m.format())
                .build();
    }

    static Member decode(Wire.Member m) {
        return new Member(
                m.getHost(),
                m.getIncarnation(),
                m.getRevision(),
                STATES[Math.floorMod(m.getState(), STATES.length)],
                m.getZone(),
                m.getAgentAddress(),
                m.getProxyAddress(),
                m.getProxyIncarnation(),
                m.getAccepting(),
                m.getCallsInFlight(),
                m.getConfigurationVersion(),
                m.getCutOff(),
                m.getFormat());
    }

    static List<Wire.Member> encodeMembers(List<Member> list) {
        return list.stream().map(MemberCodec::encode).toList();
    }

    static List<Member> decodeMembers(List<Wire.Member> list) {
        return list.stream().map(MemberCodec::decode).toList();
    }

    static List<Wire.Load> encodeLoads(List<AgedLoadReport> list) {
        return list.stream()
                .map(l -> Wire.Load.newBuilder()
                        .setServer(l.server())
                        .setInFlight(l.inFlight())
                        .setAgeMicros(l.ageMicros())
                        .setDraining(l.draining())
                        .build())
                .toList();
    }

    static List<AgedLoadReport> decodeLoads(List<Wire.Load> list) {
        return list.stream()
                .map(l -> new AgedLoadReport(l.getServer(), l.getInFlight(), l.getAgeMicros(), l.getDraining()))
                .toList();
    }

    static List<Wire.LeavingNotice> encodeNotices(List<LeavingNotice> list) {
        return list.stream()
                .map(n -> Wire.LeavingNotice.newBuilder()
                        .setServer(n.server())
                        .setLeaving(n.isLeaving())
                        .setStatedMicros(n.statedMicros())
                        .setSource(n.source())
                        .build())
                .toList();
    }

    static List<LeavingNotice> decodeNotices(List<Wire.LeavingNotice> list) {
        return list.stream()
                .map(n -> new LeavingNotice(n.getServer(), n.getLeaving(), n.getStatedMicros(), n.getSource()))
                .toList();
    }

    static List<Wire.Suspicion> encodeSuspicions(List<Suspicion> list) {
        return list.stream()
                .map(s -> Wire.Suspicion.newBuilder()
                        .setFingerprint(s.fingerprint())
                        .setServer(s.server())
                        .setCrashMicros(s.crashMicros())
                        .setScore(s.score())
                        .build())
                .toList();
    }

    /** A host of an earlier build sends the whole content of a long request as its fingerprint. */
    static List<Suspicion> decodeSuspicions(List<Wire.Suspicion> list) {
        return list.stream()
                .map(s -> new Suspicion(
                        Fingerprint.bounded(s.getFingerprint()), s.getServer(), s.getCrashMicros(), s.getScore()))
                .toList();
    }

    static List<Wire.Clearance> encodeClearances(List<Clearance> list) {
        return list.stream()
                .map(c -> Wire.Clearance.newBuilder()
                        .setFingerprint(c.fingerprint())
                        .setMicros(c.micros())
                        .build())
                .toList();
    }

    static List<Clearance> decodeClearances(List<Wire.Clearance> list) {
        return list.stream()
                .map(c -> new Clearance(c.getFingerprint(), c.getMicros()))
                .toList();
    }
}
