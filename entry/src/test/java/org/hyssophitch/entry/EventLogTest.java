package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.CandidateView;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** What log lines hold of a decision. */
public class EventLogTest {

    /** The chosen server may have been the only one with room, and not the one with the least cost. */
    @Test
    public void alwaysLogsTheChosenCandidate() {
        Stream<CandidateView> full =
                IntStream.range(0, 6).mapToObj(i -> new CandidateView("full-" + i, 0, 2, 5, i, CandidateView.NO_ROOM));
        CandidateView slow = new CandidateView("slow", 0, 0, 5, 9, CandidateView.CHOSEN);
        List<CandidateView> all = Stream.concat(full, Stream.of(slow)).toList();

        EventBody brief = EventLog.limitCandidates(new EventBody.ServerChosen("s", 1, "FIRST", "slow", all));

        List<CandidateView> told = ((EventBody.ServerChosen) brief).candidates();
        assertEquals(told.getFirst(), slow);
        assertEquals(told.get(1).server(), "full-0");
        assertTrue(told.size() < all.size(), "lines are bounded");
    }
}
