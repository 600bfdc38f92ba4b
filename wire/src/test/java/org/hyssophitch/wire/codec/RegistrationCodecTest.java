package org.hyssophitch.wire.codec;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.AgedLimitNews;
import org.hyssophitch.core.control.AgentMessage;
import org.hyssophitch.core.control.ProxyUpdate;
import org.hyssophitch.core.control.RegistrationNotice;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.hyssophitch.core.timeline.HybridTimestamp;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that decoding an encoded registration returns an equal one. */
public class RegistrationCodecTest {

    private static final RegisteredServer SERVER =
            new RegisteredServer("s1", new BackendServer("b1", "10.0.0.1", 80, "z1", 3, 40, true), 1_200);
    private static final Member SENDER =
            new Member("entry-01", 7, 2, MemberState.ALIVE, "z1", "10.0.0.2:7001", "10.0.0.2:8080", 9, true, 1, 4);
    private static final HybridTimestamp CLOCK = new HybridTimestamp(5, 1);

    @Test
    public void datagramsPreserveRegistrationsAndLimits() {
        AgentMessage message = AgentMessage.builder(SENDER)
                .registrations(List.of(
                        new RegistrationNotice("b1", Optional.of(SERVER), 77),
                        new RegistrationNotice("b2", Optional.empty(), 78)))
                .limits(List.of(
                        new AgedLimitNews("b1", Optional.of(new RateLimit(2.5)), 79),
                        new AgedLimitNews("b2", Optional.empty(), 0)))
                .storeReachableMicros(OptionalLong.of(80))
                .repeatedSuspicions(OptionalInt.of(0))
                .build();

        assertEquals(AgentMessageCodec.decode(AgentMessageCodec.encode(message, CLOCK)), message);
    }

    @DataProvider
    public Object[][] registrations() {
        return new Object[][] {
            {Optional.empty()},
            {Optional.of(new ProxyUpdate.Registrations(true, List.of(), Set.of()))},
            {Optional.of(new ProxyUpdate.Registrations(false, List.of(SERVER), Set.of("b2")))},
        };
    }

    /** An unchanged list of registrations and an empty one must remain distinguishable. */
    @Test(dataProvider = "registrations")
    public void updatesPreserveRegistrations(Optional<ProxyUpdate.Registrations> registrations) {
        ProxyUpdate update = new ProxyUpdate(List.of(SENDER), Set.of("b3"), List.of(), List.of(), registrations);

        assertEquals(FrameCodec.decode(FrameCodec.encode(update, CLOCK).getProxyUpdate()), update);
    }
}
