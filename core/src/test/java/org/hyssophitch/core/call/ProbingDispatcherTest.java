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

/** Placing calls by load that is asked for when they arrive. */
public class ProbingDispatcherTest extends ProbingDispatcherFixture {

    @Test
    public void asksTheOwnZoneAndTakesTheServerThatEndsFirst() {
        assertEquals(asked(arrive(1)), List.of("s0", "s1"));
        answer("s0", 1, 100);
        List<CallAction> actions = answer("s1", 0, 100);
        assertEquals(started(actions), List.of("s1"));
    }

    @Test
    public void asksOtherZonesWhereTheOwnOneIsSlow() {
        arrive(1);
        answer("s0", 0, 400);
        assertEquals(asked(answer("s1", 0, 400)), List.of("s2"));
        assertEquals(started(answer("s2", 0, 100)), List.of("s2"));
    }

    @Test
    public void placesByWhatIsKnownWhenAnAnswerStaysOut() {
        arrive(1);
        answer("s1", 0, 100);
        assertEquals(started(pass(10 * MILLI)), List.of("s1"));
    }

    @Test
    public void letsACallWaitInsteadOfFillingAServerBeyondItsKnee() {
        arrive(1);
        answer("s0", 2, 100);
        answer("s1", 2, 100);
        assertEquals(started(answer("s2", 2, 100)), List.of());
        List<CallAction> later = pass(30 * MILLI);
        assertEquals(asked(later), List.of("s0", "s1"));
        answer("s0", 1, 100);
        assertEquals(started(answer("s1", 2, 100)), List.of("s0"));
    }

    @Test
    public void recordsOnceThatACallWaits() {
        arrive(1);
        for (int i = 0; i < 5; i++) {
            answerAll(3);
            pass(5 * MILLI);
        }
        assertEquals(
                recorded.stream().filter(EventBody.CallQueued.class::isInstance).count(), 1);
    }

    @Test
    public void refusesACallOnceItCantBeInTimeAndTellsWhenToComeBack() {
        arrive(1);
        List<CallAction> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.addAll(answerAll(3));
            all.addAll(pass(5 * MILLI));
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
    public void sendsNothingToAServerThatRefusesOrIsAnother() {
        arrive(1);
        engine.handle(new CallEvent.LoadProbeCompleted(now, "s0", Optional.empty(), ProbeOutcome.WRONG_INSTANCE));
        engine.handle(new CallEvent.LoadProbeCompleted(now, "s1", report("s1", 0, 100), ProbeOutcome.REFUSING));
        assertEquals(started(answer("s2", 0, 100)), List.of("s2"));
        assertTrue(engine.servers().get("s0").isLeaving());
    }

    @Test
    public void hedgesOnlyWhereNoOtherCallWaits() {
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
            late.addAll(pass(5 * MILLI));
            late.addAll(answerAll(3));
        }
        assertFalse(started(late).contains("s1"), "a second attempt took a place: " + late);
    }

    @Test
    public void newIncarnationOfAServerStartsWithoutThePast() {
        arrive(1);
        engine.handle(new CallEvent.LoadProbeCompleted(now, "s0", Optional.empty(), ProbeOutcome.WRONG_INSTANCE));
        register(List.of("s0@2", "s1", "s2"), List.of("z1", "z1", "z2"));
        assertFalse(engine.servers().containsKey("s0"));
        assertFalse(engine.servers().get("s0@2").isLeaving());
    }

    /** The load that this answers: so many calls that the budget for questions is used up. */
    @Test
    public void anOldReportKeepsNobodyFromAServer() {
        engine = engine(List.of("z1", "z1", "z2"), 0);
        List<CallAction> placed = new ArrayList<>();
        engine.handle(new CallEvent.LoadReportsReceived(
                now,
                List.of(
                        report("s0", 3, 100).orElseThrow(),
                        report("s1", 3, 100).orElseThrow(),
                        report("s2", 3, 100).orElseThrow())));
        pass(300 * MILLI);
        for (int id = 1; id <= 2; id++) {
            placed.addAll(arrive(id));
            placed.addAll(pass(40 * MILLI));
        }
        assertEquals(asked(placed), List.of());
        assertEquals(started(placed).size(), 2);
    }

    /** The load that this answers: a machine whose speed drops while it runs a call. */
    @Test
    public void hedgesEarlyWhenTheServerOfACallTurnsSlow() {
        engine.handle(new CallEvent.FleetChanged(now, Map.of("z1", 1)));
        pass(10_000 * MILLI);
        arrive(1);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        assertEquals(asked(pass(SPAN / 5)), List.of("s0"));
        assertTrue(asked(answer("s0", 1, 400)).contains("s1"));
        List<CallAction> actions = new ArrayList<>(answer("s0", 1, 400));
        actions.addAll(answer("s1", 0, 100));
        assertEquals(started(actions), List.of("s1"));
    }

    @Test
    public void aHedgeThatFindsNoPlaceLeavesItsCallAlone() {
        pass(10_000 * MILLI);
        arrive(1);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        List<CallAction> actions = new ArrayList<>(pass(SPAN / 5));
        actions.addAll(answer("s0", 1, 400));
        for (int i = 0; i < 100; i++) {
            actions.addAll(answerAll(3));
            actions.addAll(pass(5 * MILLI));
        }
        register(List.of("s0"), List.of("z1"));
        actions.addAll(pass(SPAN));
        assertTrue(actions.stream().noneMatch(CallAction.AnswerCaller.class::isInstance), "" + actions);
        assertTrue(actions.stream().noneMatch(CallAction.CancelAttempt.class::isInstance), "" + actions);
        assertEquals(started(actions), List.of());
    }

    @Test
    public void aCallThatIsLostWhileItsHedgeWaitsTakesTheHedgesPlace() {
        engine.handle(new CallEvent.FleetChanged(now, Map.of("z1", 1)));
        pass(10_000 * MILLI);
        arrive(1);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        pass(SPAN / 5);
        answer("s0", 1, 400);
        answer("s0", 1, 400);
        answer("s1", 2, 100);
        List<CallAction> actions = new ArrayList<>(answer("s2", 2, 100));
        actions.addAll(engine.handle(new CallEvent.AttemptEnded(
                now, 1, 1, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST))));
        actions.addAll(pass(40 * MILLI));
        actions.addAll(answer("s1", 0, 100));
        actions.addAll(answer("s0", 2, 100));
        assertTrue(actions.stream().noneMatch(CallAction.AnswerCaller.class::isInstance), "" + actions);
        assertEquals(started(actions), List.of("s1"));
    }

    /** The load that this answers: resets of single connections, which blame no request as long as the server lives. */
    @Test
    public void blamesARequestOnlyForServersThatReallyCrashed() {
        for (int i = 1; i <= 6; i++) {
            loseAnswer(i, ProbeOutcome.ACCEPTING);
        }
        assertFalse(isRefused(100), "resets alone convicted a request");
        for (int i = 7; i <= 12; i++) {
            loseAnswer(i, ProbeOutcome.FAILED);
        }
        assertTrue(isRefused(101), "a request that crashed every server goes on");
    }

    /** Sends the same request to a server whose connection breaks, and lets that server answer a question or not. */
    private void loseAnswer(long id, ProbeOutcome afterwards) {
        pass(6_000 * MILLI);
        engine.handle(new CallEvent.CallArrived(now, request(id, "same", false)));
        List<CallAction> placed = new ArrayList<>(answer("s0", id % 3 == 0 ? 0 : 2, 100));
        placed.addAll(answer("s1", id % 3 == 1 ? 0 : 2, 100));
        placed.addAll(answer("s2", id % 3 == 2 ? 0 : 2, 100));
        for (String server : started(placed)) {
            engine.handle(new CallEvent.AttemptEnded(
                    now, id, 1, new AttemptResult.Lost(AttemptResult.LostCause.CONNECTION_LOST)));
            engine.handle(new CallEvent.LoadProbeCompleted(now, server, Optional.empty(), afterwards));
        }
    }

    private boolean isRefused(long id) {
        pass(6_000 * MILLI);
        return engine.handle(new CallEvent.CallArrived(now, request(id, "same", false))).stream()
                .anyMatch(a -> a instanceof CallAction.AnswerCaller c && c.reason() == Reason.REQUEST_CONVICTED);
    }
}
