package org.hyssophitch.wire.codec;

import java.util.List;

import org.hyssophitch.core.quota.QuotaAsk;
import org.hyssophitch.core.quota.QuotaGrant;
import org.hyssophitch.wire.generated.Wire;

/** Converts token requests and their answers to and from protobuf. Stateless. */
final class QuotaCodec {

    private QuotaCodec() {}

    static List<Wire.QuotaAsk> encodeAsks(List<QuotaAsk> asks) {
        return asks.stream().map(QuotaCodec::encode).toList();
    }

    static List<QuotaAsk> decodeAsks(List<Wire.QuotaAsk> asks) {
        return asks.stream().map(QuotaCodec::decode).toList();
    }

    static List<Wire.QuotaGrant> encodeGrants(List<QuotaGrant> grants) {
        return grants.stream().map(QuotaCodec::encode).toList();
    }

    static List<QuotaGrant> decodeGrants(List<Wire.QuotaGrant> grants) {
        return grants.stream().map(QuotaCodec::decode).toList();
    }

    private static Wire.QuotaAsk encode(QuotaAsk a) {
        return Wire.QuotaAsk.newBuilder()
                .setTeam(a.team())
                .setSequence(a.sequence())
                .setNeed(a.need())
                .setWant(a.want())
                .addAllLeaving(a.leaving())
                .setIncarnation(a.incarnation())
                .build();
    }

    private static QuotaAsk decode(Wire.QuotaAsk a) {
        return new QuotaAsk(
                a.getTeam(),
                a.getSequence(),
                Math.max(0, a.getNeed()),
                Math.max(0, a.getWant()),
                a.getLeavingList(),
                a.getIncarnation());
    }

    private static Wire.QuotaGrant encode(QuotaGrant g) {
        return Wire.QuotaGrant.newBuilder()
                .setTeam(g.team())
                .setSequence(g.sequence())
                .setGranted(g.granted())
                .setNotOwner(g.refusal() != QuotaGrant.Refusal.NONE)
                .setLeaving(g.refusal() == QuotaGrant.Refusal.LEAVING)
                .setRetryAfterMicros(g.retryAfterMicros())
                .setRetryIntervalMicros(g.retryIntervalMicros())
                .build();
    }

    private static QuotaGrant decode(Wire.QuotaGrant g) {
        QuotaGrant.Refusal refusal = g.getLeaving() ? QuotaGrant.Refusal.LEAVING : QuotaGrant.Refusal.NOT_OWNER;
        return new QuotaGrant(
                g.getTeam(),
                g.getSequence(),
                Math.max(0, g.getGranted()),
                g.getNotOwner() ? refusal : QuotaGrant.Refusal.NONE,
                Math.max(0, g.getRetryAfterMicros()),
                Math.max(0, g.getRetryIntervalMicros()));
    }
}
