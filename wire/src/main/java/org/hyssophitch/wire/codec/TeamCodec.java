package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.hyssophitch.core.team.KeyDigest;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.wire.generated.Wire;

/** Converts teams to and from protobuf messages. Stateless. */
final class TeamCodec {

    private TeamCodec() {}

    static List<Wire.Team> encodeTeams(List<Team> teams) {
        return teams.stream().map(TeamCodec::encode).toList();
    }

    static List<Team> decodeTeams(List<Wire.Team> teams) {
        return teams.stream().map(TeamCodec::decode).toList();
    }

    private static Wire.Team encode(Team t) {
        Wire.Team.Builder b = Wire.Team.newBuilder()
                .setName(t.name())
                .addAllKeys(t.keys().stream()
                        .map(k -> ByteString.copyFrom(k.toBytes()))
                        .toList())
                .setRequestsPerSecond(t.requestsPerSecond())
                .setBurst(t.burst());
        t.priority().ifPresent(b::setPriority);
        return b.build();
    }

    private static Team decode(Wire.Team t) {
        return new Team(
                t.getName(),
                t.getKeysList().stream()
                        .filter(k -> k.size() == KeyDigest.BYTES)
                        .map(k -> KeyDigest.ofBytes(k.toByteArray()))
                        .collect(Collectors.toUnmodifiableSet()),
                t.hasPriority() ? OptionalInt.of(t.getPriority()) : OptionalInt.empty(),
                t.getRequestsPerSecond(),
                t.getBurst());
    }
}
