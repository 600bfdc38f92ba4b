package org.hyssophitch.core.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.CandidateView;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Which call gets a place when there are more calls than places, and what is told of it. */
public class LateCallPlacementTest extends ProbingDispatcherFixture {

    /** The load that this answers: more calls than places, so that first come first served makes every call late. */
    @Test
    public void givesAPlaceToACallThatCanStillBeInTime() {
        arrive(1, -SPAN);
        arrive(2, 0);
        answer("s0", 2, 100);
        answer("s1", 2, 100);
        answer("s2", 2, 100);
        pass(30 * MILLI);
        answer("s0", 1, 100);
        List<CallAction> placed = answer("s1", 2, 100);
        assertEquals(calls(placed), List.of(2L));
    }

    /** The load that this answers: callers that were turned away and come back while others can still be in time. */
    @Test
    public void aLateCallLeavesTheLastPlaceOfAFastServerToOthers() {
        arrive(1, -SPAN);
        List<CallAction> actions = new ArrayList<>(answerAll(1));
        actions.addAll(pass(10 * MILLI));
        actions.addAll(answerAll(1));
        assertEquals(started(actions), List.of());

        List<CallAction> inTime = new ArrayList<>(arrive(2));
        inTime.addAll(pass(40 * MILLI));
        inTime.addAll(answerAll(1));
        assertEquals(calls(inTime), List.of(2L));
    }

    @Test
    public void aLateCallTakesAnEmptyServerOrASlowOneAtOnce() {
        arrive(1, -SPAN);
        answer("s0", 0, 100);
        assertEquals(started(answer("s1", 1, 100)), List.of("s0"));
        arrive(2, -SPAN);
        List<CallAction> slow = new ArrayList<>(pass(40 * MILLI));
        for (String server : List.of("s0", "s1", "s2")) {
            slow.addAll(answer(server, 1, 400));
        }
        assertEquals(calls(slow), List.of(2L));
    }

    /** Nobody is turned away for the sake of a place that stays empty. */
    @Test
    public void aLateCallTakesTheLastPlaceBeforeItsWaitEnds() {
        arrive(1, -SPAN);
        List<CallAction> actions = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            actions.addAll(answerAll(1));
            actions.addAll(pass(5 * MILLI));
        }
        assertEquals(calls(actions), List.of(1L));
        assertTrue(actions.stream().noneMatch(CallAction.AnswerCaller.class::isInstance), "" + actions);
    }

    /** The time line tells of every candidate why it was taken or passed over. */
    @Test
    public void tellsWhyEachCandidateWasTakenOrNot() {
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
