package org.hyssophitch.entry.soak;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Plans repeat by their seeds, and together contain every disruption. */
public class SoakPlannerTest {

    private static final long DURATION_MILLIS = 60_000;

    /** Guards against a plan that depends on anything but its seed. */
    @Test
    public void aSeedGivesTheSamePlanAgain() {
        assertEquals(SoakPlanner.plan(7, DURATION_MILLIS), SoakPlanner.plan(7, DURATION_MILLIS));
    }

    /** Guards against a disruption that is never drawn. */
    @Test
    public void twentySeedsContainEveryKindOfDisruption() {
        Set<Class<?>> drawn = LongStream.rangeClosed(1, 20)
                .mapToObj(s -> SoakPlanner.plan(s, DURATION_MILLIS))
                .flatMap(p -> p.disruptions().stream())
                .map(t -> t.disruption().getClass())
                .collect(Collectors.toSet());
        assertEquals(drawn, Set.copyOf(Arrays.asList(Disruption.class.getPermittedSubclasses())));
    }

    /** Guards against seeds that never have enough hosts to read the store through each other. */
    @Test
    public void everyEighthSeedHasALargeFleet() {
        assertTrue(SoakPlanner.plan(8, DURATION_MILLIS).hosts() >= 17);
        assertTrue(SoakPlanner.plan(9, DURATION_MILLIS).hosts() < 17);
    }
}
