package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.hyssophitch.core.call.EngineFeature;
import org.hyssophitch.standin.CallRecord;
import org.hyssophitch.standin.Deployment;
import org.hyssophitch.standin.HistoryChecker;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks the correctness invariants under each fault and each pair of faults, including the same fault twice. */
public class ModelFaultTest {

    private static final long FIRST_FAULT_MICROS = 200_000;
    private static final long SECOND_FAULT_MICROS = 350_000;
    private static final long FAULT_END_MICROS = 700_000;
    private static final long LAST_ARRIVAL_MICROS = 1_000_000;
    private static final long END_MICROS = 40_000_000;
    private static final double UTILIZATION = 0.6;
    private static final int SEED = 7;
    private static final int MAX_CRASHES = 3;

    @DataProvider
    public Object[][] faults() {
        List<Object[]> cases = new ArrayList<>();
        for (ModelFault first : ModelFault.values()) {
            cases.add(new Object[] {first, null, SEED});
            for (ModelFault second : ModelFault.values()) {
                cases.add(new Object[] {first, second, SEED + first.ordinal() * 31 + second.ordinal()});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "faults")
    public void historyHasNoViolationsUnderFaults(ModelFault first, ModelFault second, int seed) {
        ModelRun run = runWith(EngineFeature.all(), first, second, seed);

        assertEquals(run.violations().toString(), "[]");
        assertEquals(
                run.hosts().stream()
                        .filter(h -> !h.isDead())
                        .mapToInt(h -> h.engine().activeCalls())
                        .sum(),
                0,
                "calls still active at the end of the run");
        assertTrue(run.calls().size() > 1_000, "calls " + run.calls().size());
    }

    @DataProvider
    public Object[][] requiredFeatures() {
        return new Object[][] {
            {EngineFeature.TICKETS, ModelFault.SERVER_CRASH, HistoryChecker.Kind.DOUBLE_RUN},
            {EngineFeature.SAFE_RETRIES, ModelFault.SERVER_CRASH, HistoryChecker.Kind.DOUBLE_RUN},
        };
    }

    @Test(dataProvider = "requiredFeatures")
    public void historyHasViolationsWithoutFeature(
            EngineFeature omitted, ModelFault fault, HistoryChecker.Kind expected) {
        int crewcallTarget = 1;
        ModelRun run = runWith(EngineFeature.allBut(omitted), fault, null, crewcallTarget);

        assertTrue(HistoryChecker.count(run.violations(), expected) > 0, "violations " + run.violations());
    }

    @DataProvider
    public Object[][] isolation() {
        return new Object[][] {
            {EngineFeature.all(), true}, {EngineFeature.allBut(EngineFeature.SUSPECT_ISOLATION), false}
        };
    }

    /** A request that crashes servers and is retried crashes few of them with isolation, and more without it. */
    @Test(dataProvider = "isolation")
    public void crashingRequestIsIsolated(Set<EngineFeature> features, boolean isIsolated) {
        ModelRun run = runWith(features, ModelFault.CRASHING_REQUEST, null, 0);

        long crashes = run.crashes();
        assertEquals(crashes <= MAX_CRASHES, isIsolated, "crashes " + crashes);
    }

    @DataProvider
    public Object[][] draining() {
        return new Object[][] {{EngineFeature.all(), true}, {EngineFeature.allBut(EngineFeature.DRAIN), false}};
    }

    /** 3 s after it is announced as leaving, a server that still accepts requests gets none from any entry host. */
    @Test(dataProvider = "draining")
    public void leavingServerGetsNoNewWork(Set<EngineFeature> features, boolean isDrained) {
        long announcedMicros = 200_000;
        long boundMicros = announcedMicros + 3_000_000;
        ModelRun run = new ModelRun(Deployment.GLENMORVEN, SEED, features, s -> s);
        new ModelCallers(run, boundMicros + 300_000).start(0.3);
        run.time().after(announcedMicros, () -> run.announceLeaving(Set.of("mastwatch-1")));
        run.runUntil(END_MICROS);

        assertEquals(run.runHistory().lastStartMicros("mastwatch-1") < boundMicros, isDrained);
        assertEquals(run.violations().toString(), "[]");
    }

    /** At 2.5 times the capacity, entry hosts refuse calls with the outcome NOT_RUN, and no invariant is violated. */
    @Test
    public void overloadIsRefusedWithoutViolations() {
        ModelRun run = new ModelRun(Deployment.GLENMORVEN, SEED, EngineFeature.all(), s -> s);
        new ModelCallers(run, LAST_ARRIVAL_MICROS).start(2.5);
        run.runUntil(END_MICROS);

        assertEquals(run.violations().toString(), "[]");
        long refused = run.calls().stream()
                .filter(c -> c.outcomes().contains(CallRecord.AttemptOutcome.NOT_RUN))
                .count();
        assertTrue(refused > 0, "no call was refused at 2.5 times the capacity");
    }

    private static ModelRun runWith(Set<EngineFeature> features, ModelFault first, ModelFault second, int seed) {
        ModelRun run = new ModelRun(Deployment.GLENMORVEN, seed, features, s -> s);
        ModelCallers callers = new ModelCallers(run, LAST_ARRIVAL_MICROS);
        callers.start(UTILIZATION);
        run.time().after(FIRST_FAULT_MICROS, () -> first.begin(run, callers, seed));
        run.time().after(FAULT_END_MICROS, () -> first.end(run, seed));
        if (second != null) {
            run.time().after(SECOND_FAULT_MICROS, () -> second.begin(run, callers, seed + 1));
            run.time().after(FAULT_END_MICROS, () -> second.end(run, seed + 1));
        }
        run.runUntil(END_MICROS);
        return run;
    }
}
