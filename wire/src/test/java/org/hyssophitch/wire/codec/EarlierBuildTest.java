package org.hyssophitch.wire.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.membership.MembershipEngine;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.team.KeyDigest;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.wire.generated.Wire;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Entry hosts of this build and of earlier ones tell each other what they know. */
public class EarlierBuildTest {

    private static final Member HOST = new Member(
                    "cut-off", 7, 2, MemberState.ALIVE, "z1", "10.0.0.2:7001", "10.0.0.2:8080", 9, true, 1, 4)
            .withFormat(Member.FORMAT);
    private static final Team TEAM = new Team("t", Set.of(KeyDigest.of("secret")), OptionalInt.empty(), 10, 10);
    private static final Member CUT_OFF_HOST = HOST.withCutOff(true).withRevision(3);

    private final List<Member> passedOn = new ArrayList<>();
    private MembershipEngine membership;

    @BeforeMethod
    public void setUp() {
        passedOn.clear();
        Member self = new Member("self", 1, 0, MemberState.ALIVE, "z1", "10.0.0.3:1", "10.0.0.3:2", 1, true, 0, 4);
        membership = new MembershipEngine(self, new SplittableRandom(1), passedOn::add);
    }

    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            {passedOnBy1a4483c(CUT_OFF_HOST), CUT_OFF_HOST}, {CUT_OFF_HOST, passedOnBy1a4483c(CUT_OFF_HOST)}
        };
    }

    /** An earlier build passes a record on without the fields that it doesn't know. */
    @Test(dataProvider = "orders")
    public void hostOfAnEarlierBuildHidesThatAHostIsCutOff(Member first, Member second) {
        membership.merge(HOST, 1);
        membership.merge(first, 2);
        membership.merge(second, 3);
        assertTrue(membership.member("cut-off").orElseThrow().isCutOff(), "the host isn't known to be cut off");
        assertEquals(passedOn.getLast(), CUT_OFF_HOST);
    }

    /** Returns what a host of the build 1a4483c passes on: the fields that its protocol has. */
    private static Member passedOnBy1a4483c(Member m) {
        Wire.Member encoded = MemberCodec.encode(m);
        return MemberCodec.decode(Wire.Member.newBuilder()
                .setHost(encoded.getHost())
                .setIncarnation(encoded.getIncarnation())
                .setRevision(encoded.getRevision())
                .setState(encoded.getState())
                .setZone(encoded.getZone())
                .setAgentAddress(encoded.getAgentAddress())
                .setProxyAddress(encoded.getProxyAddress())
                .setProxyIncarnation(encoded.getProxyIncarnation())
                .setAccepting(encoded.getAccepting())
                .setCallsInFlight(encoded.getCallsInFlight())
                .setConfigurationVersion(encoded.getConfigurationVersion())
                .build());
    }

    /** An earlier build relays a configuration without its teams; requests would then need no keys. */
    @Test
    public void relayOfAnEarlierBuildHidesTheTeams() throws Exception {
        RelayCodec<Configuration> codec = new RelayedConfigurationCodec();
        Configuration current = Configuration.NONE.withVersion(4).withTeams(List.of(TEAM));
        StoredObject<Configuration> object = new StoredObject<>("main", 0, Optional.of(current));
        StorePosition position = new StorePosition(3, 41);
        StoreChanges<Configuration> changes =
                new StoreChanges<>(List.of(new StoreChanges.Change<>(object, false)), position);
        assertEquals(codec.decodeChanges(codec.encodeChanges(changes)), Optional.of(changes));

        byte[] relayed = relayedBy03a3828(codec.encodeChanges(changes));
        assertEquals(codec.decodeChanges(relayed), Optional.empty(), "the host has to read the store");
        assertThrows(InvalidProtocolBufferException.class, () -> codec.decodeObjects(relayed));
    }

    /** A watch without changes says nothing that an earlier build could leave out. */
    @Test
    public void relayOfAnEarlierBuildSaysThatNothingHasChanged() throws Exception {
        RelayCodec<Configuration> codec = new RelayedConfigurationCodec();
        StoreChanges<Configuration> none = new StoreChanges<>(List.of(), new StorePosition(3, 41));
        assertEquals(codec.decodeChanges(relayedBy03a3828(codec.encodeChanges(none))), Optional.of(none));
    }

    /** A relay states how current its views are; an earlier build ignores it, and its relays don't state it. */
    @Test
    public void viewsOfARelayAreNoChangeForAnEarlierBuild() throws Exception {
        RelayCodec<Configuration> codec = new RelayedConfigurationCodec();
        StoreChanges<Configuration> none = new StoreChanges<>(List.of(), new StorePosition(3, 41));
        List<RelayedView> views = List.of(new RelayedView("config", none.position(), -120));
        byte[] answer = RelayedViewCodec.append(codec.encodeChanges(none), views);
        assertEquals(RelayedViewCodec.decode(answer), views);
        assertEquals(codec.decodeChanges(answer), Optional.of(none));
        assertEquals(RelayedViewCodec.decode(relayedBy03a3828(answer)), List.of());
    }

    /** Returns what a relay of the build 03a3828 sends: the fields that its protocol has. */
    private static byte[] relayedBy03a3828(byte[] encoded) throws InvalidProtocolBufferException {
        Wire.RelayedObjects m = Wire.RelayedObjects.parseFrom(encoded);
        Wire.RelayedObjects.Builder b = Wire.RelayedObjects.newBuilder()
                .setEpoch(m.getEpoch())
                .setRevision(m.getRevision())
                .setMustList(m.getMustList());
        m.getConfigurationsList()
                .forEach(n -> b.addConfigurations(n.toBuilder()
                        .setConfiguration(n.getConfiguration().toBuilder().clearTeams())));
        return b.build().toByteArray();
    }
}
