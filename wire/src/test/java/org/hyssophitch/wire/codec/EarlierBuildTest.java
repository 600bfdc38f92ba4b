package org.hyssophitch.wire.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.membership.MembershipEngine;
import org.hyssophitch.wire.generated.Wire;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Entry hosts of this build and of earlier ones tell each other what they know. */
public class EarlierBuildTest {

    private static final Member HOST = new Member(
                    "cut-off", 7, 2, MemberState.ALIVE, "z1", "10.0.0.2:7001", "10.0.0.2:8080", 9, true, 1, 4)
            .withFormat(Member.FORMAT);
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
}
