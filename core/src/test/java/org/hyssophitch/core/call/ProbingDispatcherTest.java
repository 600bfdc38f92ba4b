package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.timeline.EventBody;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the dispatch of calls by load probes. */
public class ProbingDispatcherTest extends ProbingDispatcherFixture {

    @Test
    public void probesOwnZoneAndChoosesFastestServer() {
        assertEquals(probed(arrive(1)), List.of("s0", "s1"));
        answer("s0", 1, 100);
        List<CallAction> actions = answer("s1", 0, 100);
        assertEquals(started(actions), List.of("s1"));
    }

    @Test
    public void probesOtherZonesWhenOwnZoneIsSlow() {
        arrive(1);
        answer("s0", 0, 400);
        assertEquals(probed(answer("s1", 0, 400)), List.of("s2"));
        assertEquals(started(answer("s2", 0, 100)), List.of("s2"));
    }

    @Test
    public void placesCallByReceivedReportsWhenProbeTimesOut() {
        arrive(1);
        answer("s1", 0, 100);
        assertEquals(started(advance(10 * MILLI)), List.of("s1"));
    }

    @Test
    public void queuesCallInsteadOfLoadingServerBeyondItsKnee() {
        arrive(1);
        answer("s0", 2, 100);
        answer("s1", 2, 100);
        assertEquals(started(answer("s2", 2, 100)), List.of());
        List<CallAction> later = advance(30 * MILLI);
        assertEquals(probed(later), List.of("s0", "s1"));
        answer("s0", 1, 100);
        assertEquals(started(answer("s1", 2, 100)), List.of("s0"));
    }

    @Test
    public void recordsQueuedCallOnce() {
        arrive(1);
        for (int i = 0; i < 5; i++) {
            answerAll(3);
            advance(5 * MILLI);
        }
        assertEquals(
                recorded.stream().filter(EventBody.CallQueued.class::isInstance).count(), 1);
    }

    @Test
    public void rejectsCallThatCannotMeetItsTargetWithRetryDelay() {
        arrive(1);
        List<CallAction> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.addAll(answerAll(3));
            all.addAll(advance(5 * MILLI));
        }
        CallAction.AnswerCaller refusal = all.stream()
                .filter(CallAction.AnswerCaller.class::isInstance)
                .map(CallAction.AnswerCaller.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(refusal.reason(), Reason.NO_ROOM);
        assertEquals(refusal.reason().outcome(), Outcome.NOT_RUN);
        assertTrue(refusal.retryAfterMillis() > 0);
        assertEquals(started(all), List.of());
    }

    @Test
    public void sendsNoCallToRefusingServerOrWrongInstance() {
        arrive(1);
        engine.handle(new CallEvent.LoadProbeCompleted(now, "s0", Optional.empty(), ProbeOutcome.WRONG_INSTANCE));
        engine.handle(new CallEvent.LoadProbeCompleted(now, "s1", report("s1", 0, 100), ProbeOutcome.REFUSING));
        assertEquals(started(answer("s2", 0, 100)), List.of("s2"));
        assertTrue(engine.servers().get("s0").isLeaving());
    }

    @Test
    public void hedgesOnlyWhenNoCallIsQueued() {
        engine.handle(new CallEvent.FleetChanged(now, Map.of("z1", 1)));
        arrive(1);
        answer("s0", 0, 100);
        answer("s1", 1, 100);
        arrive(2);
        answer("s0", 3, 100);
        answer("s1", 3, 100);
        answer("s2", 3, 100);
        List<CallAction> late = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            late.addAll(advance(5 * MILLI));
            late.addAll(answerAll(3));
        }
        assertFalse(started(late).contains("s1"), "a hedge took a slot: " + late);
    }

    @Test
    public void newServerInstanceStartsWithFreshState() {
        arrive(1);
        engine.handle(new CallEvent.LoadProbeCompleted(now, "s0", Optional.empty(), ProbeOutcome.WRONG_INSTANCE));
        register(List.of("s0@2", "s1", "s2"), List.of("z1", "z1", "z2"));
        assertFalse(engine.servers().containsKey("s0"));
        assertFalse(engine.servers().get("s0@2").isLeaving());
    }

    /** With the probe budget exhausted, an outdated report of a full server must not keep calls away from it. */
    @Test
    public void outdatedReportDoesNotExcludeServer() {
        engine = engine(List.of("z1", "z1", "z2"), 0);
        List<CallAction> placed = new ArrayList<>();
        engine.handle(new CallEvent.LoadReportsReceived(
                now,
                List.of(
                        report("s0", 3, 100).orElseThrow(),
                        report("s1", 3, 100).orElseThrow(),
                        report("s2", 3, 100).orElseThrow())));
        advance(300 * MILLI);
        for (int id = 1; id <= 2; id++) {
            placed.addAll(arrive(id));
            placed.addAll(advance(40 * MILLI));
        }
        assertEquals(probed(placed), List.of());
        assertEquals(started(placed).size(), 2);
    }

    /** A call on a server that slows down while it runs the call must be hedged well before its target. */
    @Test
    public void hedgesEarlyWhenServerSlowsDown() {
        engine.handle(new CallEvent.FleetChanged(now, Map.of("z1", 1)));
        advance(10_000 * MILLI);
        arrive(1);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        assertEquals(probed(advance(TARGET_LATENCY / 5)), List.of("s0"));
        assertTrue(probed(answer("s0", 1, 400)).contains("s1"));
        List<CallAction> actions = new ArrayList<>(answer("s0", 1, 400));
        actions.addAll(answer("s1", 0, 100));
        assertEquals(started(actions), List.of("s1"));
    }

    @Test
    public void hedgeWithoutCapacityDoesNotAffectItsCall() {
        advance(10_000 * MILLI);
        arrive(1);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        List<CallAction> actions = new ArrayList<>(advance(TARGET_LATENCY / 5));
        actions.addAll(answer("s0", 1, 400));
        for (int i = 0; i < 100; i++) {
            actions.addAll(answerAll(3));
            actions.addAll(advance(5 * MILLI));
        }
        register(List.of("s0"), List.of("z1"));
        actions.addAll(advance(TARGET_LATENCY));
        assertTrue(actions.stream().noneMatch(CallAction.AnswerCaller.class::isInstance), "" + actions);
        assertTrue(actions.stream().noneMatch(CallAction.CancelAttempt.class::isInstance), "" + actions);
        assertEquals(started(actions), List.of());
    }

    @Test
    public void lostCallTakesThePlaceOfItsQueuedHedge() {
        engine.handle(new CallEvent.FleetChanged(now, Map.of("z1", 1)));
        advance(10_000 * MILLI);
        arrive(1);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        advance(TARGET_LATENCY / 5);
        answer("s0", 1, 400);
        answer("s0", 1, 400);
        answer("s1", 2, 100);
        List<CallAction> actions = new ArrayList<>(answer("s2", 2, 100));
        actions.addAll(engine.handle(new CallEvent.AttemptEnded(
                now, 1, 1, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST))));
        actions.addAll(advance(40 * MILLI));
        actions.addAll(answer("s1", 0, 100));
        actions.addAll(answer("s0", 2, 100));
        assertTrue(actions.stream().noneMatch(CallAction.AnswerCaller.class::isInstance), "" + actions);
        assertEquals(started(actions), List.of("s1"));
    }

    /** Connection resets must not make a request suspect as long as the server still answers probes. */
    @Test
    public void convictsRequestOnlyForServerCrashes() {
        for (int i = 1; i <= 6; i++) {
            loseConnection(i, ProbeOutcome.ACCEPTING);
        }
        assertFalse(isConvicted(100), "request was convicted by connection resets alone");
        for (int i = 7; i <= 12; i++) {
            loseConnection(i, ProbeOutcome.FAILED);
        }
        assertTrue(isConvicted(101), "request that crashed every server was not refused");
    }

    /** Sends the same request to a server that loses the connection, and then ends its load probe as given. */
    private void loseConnection(long id, ProbeOutcome probeOutcome) {
        advance(6_000 * MILLI);
        engine.handle(new CallEvent.CallArrived(now, request(id, "same", false)));
        List<CallAction> placed = new ArrayList<>(answer("s0", id % 3 == 0 ? 0 : 2, 100));
        placed.addAll(answer("s1", id % 3 == 1 ? 0 : 2, 100));
        placed.addAll(answer("s2", id % 3 == 2 ? 0 : 2, 100));
        for (String server : started(placed)) {
            engine.handle(new CallEvent.AttemptEnded(
                    now, id, 1, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST)));
            engine.handle(new CallEvent.LoadProbeCompleted(now, server, Optional.empty(), probeOutcome));
        }
    }

    private boolean isConvicted(long id) {
        advance(6_000 * MILLI);
        return engine.handle(new CallEvent.CallArrived(now, request(id, "same", false))).stream()
                .anyMatch(a -> a instanceof CallAction.AnswerCaller c && c.reason() == Reason.REQUEST_CONVICTED);
    }
}
