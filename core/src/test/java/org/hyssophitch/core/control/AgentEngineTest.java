package org.hyssophitch.core.control;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.timeline.EventRecorder;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests what an agent tells its proxy. */
public class AgentEngineTest {

    private static final long SECOND = 1_000_000;
    private static final List<Suspicion> SUSPICIONS = IntStream.range(0, 3)
            .mapToObj(i -> new Suspicion("f", "s" + i, SECOND, 1))
            .toList();

    private final AgentEngine engine =
            new AgentEngine(member("h1"), new SplittableRandom(1), EventRecorder.NONE, SECOND);

    @Test
    public void proxyThatStartsAgainForgetsWhichRequestsCrashServers() {
        reportProxy(2 * SECOND, 1);
        engine.handle(new AgentEvent.MessageReceived(3 * SECOND, message(SUSPICIONS)));
        assertEquals(suspicionsForProxy(4 * SECOND), SUSPICIONS);
        engine.handle(new AgentEvent.ProxyLost(5 * SECOND));
        reportProxy(6 * SECOND, 2);
        assertEquals(suspicionsForProxy(7 * SECOND), SUSPICIONS);
    }

    private void reportProxy(long nowMicros, long incarnation) {
        ProxyStatus status = new ProxyStatus(incarnation, true, 0, 0, List.of(), List.of());
        engine.handle(new AgentEvent.ProxyReported(nowMicros, status));
    }

    private List<Suspicion> suspicionsForProxy(long nowMicros) {
        return engine.handle(new AgentEvent.TimePassed(nowMicros)).stream()
                .filter(AgentAction.PushUpdate.class::isInstance)
                .flatMap(a -> ((AgentAction.PushUpdate) a).update().suspicions().stream())
                .toList();
    }

    private static AgentMessage message(List<Suspicion> suspicions) {
        return AgentMessage.builder(member("h2")).suspicions(suspicions).build();
    }

    private static Member member(String host) {
        return new Member(host, 1, 0, MemberState.ALIVE, "z", host + ":1", host + ":2", 0, false, 0, 0);
    }
}
