package org.hyssophitch.entry;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventBody.CandidateView;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests which candidates of a routing decision are logged. */
public class EventLogTest {

    /** The chosen server may have been the only one with a free slot, not the one with the lowest score. */
    @Test
    public void alwaysLogsTheChosenCandidate() {
        Stream<CandidateView> full =
                IntStream.range(0, 6).mapToObj(i -> new CandidateView("full-" + i, 0, 2, 5, i, CandidateView.NO_ROOM));
        CandidateView slow = new CandidateView("slow", 0, 0, 5, 9, CandidateView.CHOSEN);
        List<CandidateView> all = Stream.concat(full, Stream.of(slow)).toList();

        EventBody limited = EventLog.limitCandidates(new EventBody.ServerChosen("s", 1, "FIRST", "slow", all));

        List<CandidateView> logged = ((EventBody.ServerChosen) limited).candidates();
        assertEquals(logged.getFirst(), slow);
        assertEquals(logged.get(1).server(), "full-0");
        assertTrue(logged.size() < all.size(), "the number of logged candidates is limited");
    }
}
