package org.hyssophitch.entry.soak;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** What a soak has shown. */
record SoakResult(SoakPlan plan, int requests, long successes, List<Violation> violations) {

    private static final int OK = 200;

    static SoakResult of(SoakPlan plan, Judge judge) {
        long successes = judge.stories().stream()
                .filter(s -> s.outcome().orElse(null) instanceof Event.Answered a
                        && a.answer().status() == OK)
                .count();
        return new SoakResult(plan, judge.stories().size(), successes, judge.violations());
    }

    boolean isHeld() {
        return violations.isEmpty();
    }

    /** Returns seed, size and broken rules in one line. */
    String verdict() {
        String rules = Arrays.stream(Rule.values())
                .map(r ->
                        r + " " + violations.stream().filter(v -> v.rule() == r).count())
                .collect(Collectors.joining(", "));
        return "seed %d (%s, %d hosts, %d callers): %d requests, %d successes; %s: %s"
                .formatted(
                        plan.seed(),
                        plan.site(),
                        plan.hosts(),
                        plan.callers(),
                        requests,
                        successes,
                        isHeld() ? "all rules held" : "rules broken",
                        rules);
    }
}
