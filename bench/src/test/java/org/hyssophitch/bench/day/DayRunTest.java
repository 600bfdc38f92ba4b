package org.hyssophitch.bench.day;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.RoutingKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Tests simulations of the days in {@code bench/days}, which run the real call engines. */
public class DayRunTest {

    private static final Path DAYS = Path.of("days");
    private static final long SEED = 1;

    /** The users' target score for each type of day. Simulated scores don't deduct the costs of probes and attempts. */
    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {"glenmorven-quiet", 0.92},
            {"glenmorven-trouble", 0.75},
            {"glenmorven-busy", 0.72},
            {"lakeshore-quiet", 0.92},
            {"lakeshore-trouble", 0.75},
            {"lakeshore-busy", 0.60},
        };
    }

    /** The platform's policy reaches the target score and beats all others, and no run violates an invariant. */
    @Test(dataProvider = "days")
    public void askedLoadScoresHighestAndReachesTheTarget(String day, double target) throws IOException {
        DayPlan plan = plan(day);
        Map<RoutingKind, DayResult> results = DayRun.POLICIES.parallelStream()
                .map(p -> DayRun.simulate(plan, p, SEED))
                .collect(Collectors.toMap(DayResult::policy, Function.identity()));

        double score = results.get(RoutingKind.ASKED_LOAD).score().total();
        double bestOther = results.values().stream()
                .filter(r -> r.policy() != RoutingKind.ASKED_LOAD)
                .mapToDouble(r -> r.score().total())
                .max()
                .orElseThrow();

        assertTrue(score >= target, day + " scores " + score);
        assertTrue(score > bestOther, day + " scores " + score + ", the best other policy " + bestOther);
        results.values().forEach(r -> assertEquals(r.violations().toString(), "[]", "with " + r.policy()));
    }

    @Test
    public void theSameSeedGivesTheSameResult() throws IOException {
        DayPlan plan = plan("glenmorven-trouble");

        DayResult first = DayRun.simulate(plan, RoutingKind.ASKED_LOAD, SEED);

        assertEquals(DayRun.simulate(plan, RoutingKind.ASKED_LOAD, SEED), first);
        assertNotEquals(DayRun.simulate(plan, RoutingKind.ASKED_LOAD, SEED + 1).score(), first.score());
    }

    /** Guards against events that are read but not simulated: each kind has to change a result. */
    @Test(dataProvider = "events")
    public void eachEventKindHasAnEffect(String event, String metric) {
        String baseline =
                """
                name: event
                seconds: 12
                zones: [{name: north, hosts: 3}]
                services:
                  - name: lookup
                    servers: [{zone: north, count: 6}]
                    slow-part: 0
                kinds:
                  - name: find
                    service: lookup
                    idempotent: true
                    per-second: 80
                    target-ms: 250
                    timeout-ms: 1000
                    deadline-ms: 2000
                    work: {mean-ms: 90, spread: 0.3}
                """;
        DayPlan quietPlan = DayReaderTest.valid(baseline);
        DayPlan eventPlan = DayReaderTest.valid(baseline + "events: [{at-ms: 3000, for-ms: 5000, " + event + "}]\n");

        DayResult withoutEvent = DayRun.simulate(quietPlan, RoutingKind.ASKED_LOAD, SEED);
        DayResult withEvent = DayRun.simulate(eventPlan, RoutingKind.ASKED_LOAD, SEED);

        switch (metric) {
            case "worth" ->
                assertTrue(withEvent.score().total() < withoutEvent.score().total(), withEvent + " " + withoutEvent);
            case "requests-more" ->
                assertTrue(withEvent.requests() > withoutEvent.requests(), withEvent + " " + withoutEvent);
            case "requests-less" ->
                assertTrue(withEvent.requests() < withoutEvent.requests(), withEvent + " " + withoutEvent);
            case "questions" -> assertNotEquals(withEvent.loadProbesPerRequest(), withoutEvent.loadProbesPerRequest());
            default -> throw new AssertionError(metric);
        }
    }

    @DataProvider
    public Object[][] events() {
        return new Object[][] {
            {"kind: burst, strength: 2", "requests-more"},
            {"kind: slow-servers, part: 0.5, strength: 8", "worth"},
            {"kind: grey-servers, part: 0.9, strength: 0.9", "worth"},
            {"kind: lost-answers, part: 1, strength: 0.5", "worth"},
            {"kind: crashed-servers, part: 0.8", "worth"},
            {"kind: leaving-servers, part: 0.8", "worth"},
            {"kind: new-servers, part: 1", "questions"},
            {"kind: killed-hosts, part: 1", "worth"},
            {"kind: early-leaving, part: 0.5, strength: 0.1", "requests-less"},
        };
    }

    /** The hosts together stay within the shared budget of extra attempts while some of them keep being killed. */
    @Test(dataProvider = "seeds")
    public void extraAttemptsStayWithinTheBudgetDuringHostChurn(long seed) throws IOException {
        DayPlan plan = withHostChurn(plan("glenmorven-trouble"));

        DayResult result = DayRun.simulate(plan, RoutingKind.ASKED_LOAD, seed);

        assertTrue(
                result.extraAttemptsPerRequest() > 0.05,
                "extra attempts per request: " + result.extraAttemptsPerRequest());
        assertTrue(result.extraAttemptExcess() <= 0, "budget exceeded by " + result.extraAttemptExcess());
    }

    /** Verifies that the check above can fail: hosts with a raised limit exceed the configured budget. */
    @Test
    public void detectsExtraAttemptsBeyondTheBudget() throws IOException {
        DayPlan plan = withHostChurn(plan("glenmorven-trouble"));
        FleetLimits configured = plan.limits();
        FleetLimits raised =
                new FleetLimits(1, 1_000, configured.extraAttemptWindowMicros(), configured.loadProbesPerSecond(), 1);

        assertTrue(DayRun.simulate(plan.withLimits(raised), RoutingKind.ASKED_LOAD, SEED, configured)
                        .extraAttemptExcess()
                > 0);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    /** Servers lose 40 % of all responses, and a third of the hosts is killed every three seconds. */
    private static DayPlan withHostChurn(DayPlan plan) {
        Stream<DayEvent> kills = IntStream.range(1, 10)
                .mapToObj(i -> new DayEvent(DayEvent.Kind.KILLED_HOSTS, i * 3_000L, 1_500, 0.34, 1, ""));
        DayEvent losses = new DayEvent(DayEvent.Kind.LOST_ANSWERS, 0, 32_000, 1, 0.4, "");
        return plan.withEvents(Stream.concat(kills, Stream.of(losses)).toList());
    }

    /** Uses a day of high load, because impatient callers make a difference only if there are requests to retry. */
    @Test
    public void impatientCallersSendMore() throws IOException {
        DayPlan busy = plan("glenmorven-busy");
        DayEvent impatience = new DayEvent(DayEvent.Kind.IMPATIENT_CALLERS, 0, 32_000, 1, 4, "");
        DayPlan impatient = busy.withEvents(
                Stream.concat(busy.events().stream(), Stream.of(impatience)).toList());

        assertTrue(DayRun.simulate(impatient, RoutingKind.UNIFORM, SEED).requestsSent()
                > DayRun.simulate(busy, RoutingKind.UNIFORM, SEED).requestsSent());
    }

    @Test
    public void drawsACurveForEachPolicy() throws IOException {
        DayPlan plan = plan("glenmorven-quiet");
        String picture = DayPlot.draw(
                plan,
                DayRun.POLICIES.stream()
                        .map(p -> DayRun.simulate(plan, p, SEED))
                        .toList());

        assertEquals(picture.split("<polyline", -1).length - 1, DayRun.POLICIES.size());
        assertTrue(picture.contains(">asked-load</text>"), picture);
        assertTrue(picture.endsWith("</svg>\n"));
    }

    private static DayPlan plan(String day) throws IOException {
        return DayReaderTest.valid(Files.readString(DAYS.resolve(day + ".yaml")));
    }
}
