package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.CandidateView;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests which call gets a slot when there are more calls than slots, and how the choice is recorded. */
public class LateCallPlacementTest extends ProbingDispatcherFixture {

    /** With more calls than slots, first come, first served would make every call miss its target. */
    @Test
    public void prefersCallThatCanStillMeetItsTarget() {
        arrive(1, -TARGET_LATENCY);
        arrive(2, 0);
        answer("s0", 2, 100);
        answer("s1", 2, 100);
        answer("s2", 2, 100);
        advance(30 * MILLI);
        answer("s0", 1, 100);
        List<CallAction> placed = answer("s1", 2, 100);
        assertEquals(calls(placed), List.of(2L));
    }

    /** Rejected callers that retry late must not take slots from calls that can still meet their target. */
    @Test
    public void lateCallLeavesLastSlotOfFastServerToOtherCalls() {
        arrive(1, -TARGET_LATENCY);
        List<CallAction> actions = new ArrayList<>(answerAll(1));
        actions.addAll(advance(10 * MILLI));
        actions.addAll(answerAll(1));
        assertEquals(started(actions), List.of());

        List<CallAction> onTime = new ArrayList<>(arrive(2));
        onTime.addAll(advance(40 * MILLI));
        onTime.addAll(answerAll(1));
        assertEquals(calls(onTime), List.of(2L));
    }

    @Test
    public void lateCallUsesIdleOrSlowServerImmediately() {
        arrive(1, -TARGET_LATENCY);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        arrive(2, -TARGET_LATENCY);
        List<CallAction> slow = new ArrayList<>(advance(40 * MILLI));
        for (String server : List.of("s0", "s1", "s2")) {
            slow.addAll(answer(server, 1, 400));
        }
        assertEquals(calls(slow), List.of(2L));
    }

    /** A late call must not be rejected while a slot stays empty. */
    @Test
    public void lateCallTakesLastSlotBeforeItsWaitEnds() {
        arrive(1, -TARGET_LATENCY);
        List<CallAction> actions = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            actions.addAll(answerAll(1));
            actions.addAll(advance(5 * MILLI));
        }
        assertEquals(calls(actions), List.of(1L));
        assertTrue(actions.stream().noneMatch(CallAction.AnswerCaller.class::isInstance), "" + actions);
    }

    /** The timeline records for every candidate why it was or was not chosen. */
    @Test
    public void recordsWhyEachCandidateWasChosenOrNot() {
        arrive(1);
        answer("s0", 2, 100);
        answer("s1", 1, 100);
        List<CandidateView> views = recorded.stream()
                .filter(EventBody.ServerChosen.class::isInstance)
                .flatMap(b -> ((EventBody.ServerChosen) b).candidates().stream())
                .sorted(Comparator.comparing(CandidateView::server))
                .toList();

        assertEquals(
                views.stream().map(CandidateView::verdict).toList(),
                List.of(CandidateView.NO_ROOM, CandidateView.CHOSEN, CandidateView.REPORT_TOO_OLD));
    }
}
