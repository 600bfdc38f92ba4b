package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A request that crashes the servers that run it must stop reaching servers. */
public class CrashingRequestTest extends ProbingDispatcherFixture {

    private static final String FINGERPRINT = "crashing";
    /** Time in microseconds after which a crashed server is up again. */
    private static final long RESTART_MICROS = 6_000 * MILLI;

    /** Time in microseconds after which a host knows whether it is cut off. */
    private static final long CONFIRMATION_MICROS = 60 * MILLI;

    private static final List<Reason> REFUSED = List.of(Reason.REQUEST_CONVICTED);

    @Test
    public void serverThatStartsAgainUnderItsNameIsCrashedAgainAndAgain() {
        register(List.of("s0"), List.of("z1"));
        IntStream.rangeClosed(1, 3).forEach(this::crashServer);
        advance(RESTART_MICROS);
        assertEquals(answers(engine.handle(new CallEvent.CallArrived(now, crashing(4)))), REFUSED);
    }

    @Test
    public void queuedRequestIsSentAfterOtherHostsHaveConvictedIt() {
        engine.handle(new CallEvent.CallArrived(now, crashing(1)));
        answerAll(3);
        List<Suspicion> received = IntStream.range(0, 3)
                .mapToObj(i -> new Suspicion(FINGERPRINT, "other-" + i, now, 1))
                .toList();
        assertEquals(answers(engine.handle(new CallEvent.SuspicionsReceived(now, received))), REFUSED);
        advance(40 * MILLI);
        assertTrue(started(answerAll(0)).isEmpty(), "request was sent although it is convicted");
    }

    /** All connections of the host break at once; no server has crashed. */
    @Test
    public void hostThatIsCutOffSuspectsTheRequestsInFlight() {
        List<String> servers = IntStream.rangeClosed(1, 3)
                .mapToObj(i -> place(i, "f" + i))
                .flatMap(List::stream)
                .toList();
        assertEquals(servers.stream().sorted().toList(), List.of("s0", "s1", "s2"));
        IntStream.rangeClosed(1, 3).forEach(this::loseConnection);
        List<CallAction> actions = new ArrayList<>();
        servers.forEach(s -> actions.addAll(endProbe(s, ProbeOutcome.FAILED)));
        actions.addAll(advance(CONFIRMATION_MICROS));
        actions.addAll(answer("s0", 0, 100));
        actions.addAll(advance(CONFIRMATION_MICROS));
        assertTrue(actions.stream().noneMatch(CallAction.ShareSuspicions.class::isInstance), actions.toString());
    }

    /** Three servers crash together; the fourth answers, so it isn't this host that is cut off. */
    @Test
    public void crashesAreForgottenWhileSeveralServersAreSilent() {
        List<String> servers = IntStream.rangeClosed(1, 3)
                .mapToObj(i -> place(i, "f" + i))
                .flatMap(List::stream)
                .toList();
        assertEquals(servers.stream().sorted().toList(), List.of("s0", "s1", "s2"));
        register(List.of("s0", "s1", "s2", "s3"), List.of("z1", "z1", "z2", "z2"));
        IntStream.rangeClosed(1, 3).forEach(this::loseConnection);
        List<CallAction> actions = new ArrayList<>();
        servers.forEach(s -> actions.addAll(endProbe(s, ProbeOutcome.FAILED)));
        actions.addAll(answer("s3", 0, 100));
        actions.addAll(advance(CONFIRMATION_MICROS));
        assertEquals(crashedServers(actions), List.of("s0", "s1", "s2"));
    }

    /** The crashed server's address belongs to another one by the time of the probe. */
    @Test
    public void crashOfAServerWhoseAddressIsUsedAgainIsForgotten() {
        engine.handle(new CallEvent.CallArrived(now, crashing(1)));
        String server = started(answerAll(0)).getFirst();
        loseConnection(1);
        assertEquals(crashedServers(endProbe(server, ProbeOutcome.WRONG_INSTANCE)), List.of(server));
    }

    /** Starts a call on the server that has no other one. */
    private List<String> place(int id, String fingerprint) {
        List<CallAction> actions =
                new ArrayList<>(engine.handle(new CallEvent.CallArrived(now, request(id, fingerprint, false))));
        IntStream.range(0, 3).forEach(i -> actions.addAll(answer("s" + i, i == id % 3 ? 0 : 3, 100)));
        advance(40 * MILLI);
        return started(actions);
    }

    private void loseConnection(int id) {
        engine.handle(new CallEvent.AttemptEnded(
                now, id, 1, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST)));
    }

    private void crashServer(int id) {
        advance(RESTART_MICROS);
        engine.handle(new CallEvent.CallArrived(now, crashing(id)));
        assertEquals(started(answer("s0", 0, 100)), List.of("s0"));
        engine.handle(new CallEvent.AttemptEnded(
                now, id, 1, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST)));
        endProbe("s0", ProbeOutcome.FAILED);
    }

    private List<CallAction> endProbe(String server, ProbeOutcome outcome) {
        return engine.handle(new CallEvent.LoadProbeCompleted(now, server, Optional.empty(), outcome));
    }

    private static List<String> crashedServers(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.ShareSuspicions.class::isInstance)
                .flatMap(a -> ((CallAction.ShareSuspicions) a).suspicions().stream())
                .map(Suspicion::server)
                .sorted()
                .toList();
    }

    private CallRequest crashing(long id) {
        return request(id, FINGERPRINT, false);
    }

    private static List<Reason> answers(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.AnswerCaller.class::isInstance)
                .map(a -> ((CallAction.AnswerCaller) a).reason())
                .toList();
    }
}
