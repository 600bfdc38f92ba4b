package org.hyssophitch.standin;

import java.util.List;
import java.util.Map;

import org.hyssophitch.standin.CallRecord.AttemptOutcome;
import org.hyssophitch.standin.HistoryChecker.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a checker that misses a violation or reports one in a valid history. */
public class HistoryCheckerTest {

    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            {"correct response", true, List.of(AttemptOutcome.COMPLETED), List.of("a"), List.of()},
            {
                "idempotent ran twice",
                true,
                List.of(AttemptOutcome.BROKEN, AttemptOutcome.COMPLETED),
                List.of("a", "b"),
                List.of()
            },
            {"not run at all", false, List.of(AttemptOutcome.NOT_RUN), List.of(), List.of()},
            {
                "not run, then completed",
                false,
                List.of(AttemptOutcome.NOT_RUN, AttemptOutcome.COMPLETED),
                List.of("a"),
                List.of()
            },
            {
                "reported as already run",
                false,
                List.of(AttemptOutcome.BROKEN, AttemptOutcome.ALREADY_RUN),
                List.of("a"),
                List.of()
            },
            {"violation: wrong response", true, List.of(AttemptOutcome.WRONG), List.of("a"), List.of(Kind.WRONG_ANSWER)
            },
            {
                "violation: ran twice",
                false,
                List.of(AttemptOutcome.COMPLETED),
                List.of("a", "b"),
                List.of(Kind.DOUBLE_RUN)
            },
            {
                "violation: false not run",
                false,
                List.of(AttemptOutcome.NOT_RUN),
                List.of("a"),
                List.of(Kind.FALSE_NOT_RUN)
            },
            {"violation: never ran", true, List.of(AttemptOutcome.COMPLETED), List.of(), List.of(Kind.FALSE_COMPLETED)},
        };
    }

    @Test(dataProvider = "histories")
    public void findsExactlyTheExpectedViolations(
            String name,
            boolean isIdempotent,
            List<AttemptOutcome> outcomes,
            List<String> servers,
            List<Kind> expected) {
        CallRecord call = new CallRecord("r1", "crewcall", isIdempotent, outcomes, 1_000);
        Map<String, List<String>> runs = servers.isEmpty() ? Map.of() : Map.of("r1", servers);

        List<Kind> found = HistoryChecker.check(List.of(call), runs).stream()
                .map(HistoryChecker.Violation::kind)
                .toList();

        assertEquals(found, expected, name);
    }
}
