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

/** What must always hold, under each fault alone and under every pair, the same one twice included. */
public class ModelFaultTest {

    private static final long FIRST_FAULT_MICROS = 200_000;
    private static final long SECOND_FAULT_MICROS = 350_000;
    private static final long HEAL_MICROS = 700_000;
    private static final long LAST_ARRIVAL_MICROS = 1_000_000;
    private static final long END_MICROS = 40_000_000;
    private static final double LOAD = 0.6;
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
    public void historyHoldsUnderFaults(ModelFault first, ModelFault second, int seed) {
        ModelRun run = runWith(EngineFeature.all(), first, second, seed);

        assertEquals(run.violations().toString(), "[]");
        assertEquals(
                run.hosts().stream()
                        .filter(h -> !h.isDead())
                        .mapToInt(h -> h.engine().activeCalls())
                        .sum(),
                0,
                "calls without a final answer");
        assertTrue(run.calls().size() > 1_000, "calls " + run.calls().size());
    }

    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {EngineFeature.TICKETS, ModelFault.SERVER_CRASH, HistoryChecker.Kind.DOUBLE_RUN},
            {EngineFeature.SAFE_RETRIES, ModelFault.SERVER_CRASH, HistoryChecker.Kind.DOUBLE_RUN},
        };
    }

    @Test(dataProvider = "mechanisms")
    public void historyBreaksWithoutTheMechanism(
            EngineFeature omitted, ModelFault fault, HistoryChecker.Kind expected) {
        int targetOfCrewcall = 1;
        ModelRun run = runWith(EngineFeature.allBut(omitted), fault, null, targetOfCrewcall);

        assertTrue(HistoryChecker.count(run.violations(), expected) > 0, "violations " + run.violations());
    }

    @DataProvider
    public Object[][] isolation() {
        return new Object[][] {
            {EngineFeature.all(), true}, {EngineFeature.allBut(EngineFeature.SUSPECT_ISOLATION), false}
        };
    }

    /** A request that crashes servers and is sent again brings down few of them only with isolation. */
    @Test(dataProvider = "isolation")
    public void crashingRequestIsIsolated(Set<EngineFeature> features, boolean isIsolated) {
        ModelRun run = runWith(features, ModelFault.CRASHING_REQUEST, null, 0);

        long crashes = run.crashes();
        assertEquals(crashes <= MAX_CRASHES, isIsolated, "crashes " + crashes);
    }

    /** A leaving server that still accepts work gets none, 3 s after the announcement, from any entry host. */
    @DataProvider
    public Object[][] draining() {
        return new Object[][] {{EngineFeature.all(), true}, {EngineFeature.allBut(EngineFeature.DRAIN), false}};
    }

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

    /** Calls refused by overload are answered at once: no answer "not run" takes longer than the caller's deadline. */
    @Test
    public void overloadIsRefusedWithTimeToComeBack() {
        ModelRun run = new ModelRun(Deployment.GLENMORVEN, SEED, EngineFeature.all(), s -> s);
        new ModelCallers(run, LAST_ARRIVAL_MICROS).start(2.5);
        run.runUntil(END_MICROS);

        assertEquals(run.violations().toString(), "[]");
        long refused = run.calls().stream()
                .filter(c -> c.answers().contains(CallRecord.Answer.NOT_RUN))
                .count();
        assertTrue(refused > 0, "an overload of 2.5 must refuse some calls");
    }

    private static ModelRun runWith(Set<EngineFeature> features, ModelFault first, ModelFault second, int seed) {
        ModelRun run = new ModelRun(Deployment.GLENMORVEN, seed, features, s -> s);
        ModelCallers callers = new ModelCallers(run, LAST_ARRIVAL_MICROS);
        callers.start(LOAD);
        run.time().after(FIRST_FAULT_MICROS, () -> first.begin(run, callers, seed));
        run.time().after(HEAL_MICROS, () -> first.end(run, seed));
        if (second != null) {
            run.time().after(SECOND_FAULT_MICROS, () -> second.begin(run, callers, seed + 1));
            run.time().after(HEAL_MICROS, () -> second.end(run, seed + 1));
        }
        run.runUntil(END_MICROS);
        return run;
    }
}
