package org.hyssophitch.bench.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock and discrete-event scheduler: runs steps in the order of their times, and steps of equal time in the
 * order in which they were added. Not thread-safe; owned by one run.
 */
public final class VirtualTime {

    private record Step(long atMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMicros).thenComparingLong(Step::sequence));
    private long nowMicros;
    private long sequence;

    /** Returns the current virtual time in microseconds. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Schedules a step after a delay in microseconds; a negative delay counts as 0. */
    public void after(long delayMicros, Runnable action) {
        steps.add(new Step(nowMicros + Math.max(0, delayMicros), sequence++, action));
    }

    /** Runs all steps up to and including a time in microseconds, then advances the clock to it. */
    public void runUntil(long endMicros) {
        while (!steps.isEmpty() && steps.peek().atMicros() <= endMicros) {
            Step step = steps.poll();
            nowMicros = step.atMicros();
            step.action().run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }
}
