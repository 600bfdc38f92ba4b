package org.hyssophitch.bench.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: runs steps in the order of their times, and steps of the same time in the order they were added. Not
 * thread-safe; one run owns it.
 */
public final class VirtualTime {

    private record Step(long atMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMicros).thenComparingLong(Step::sequence));
    private long nowMicros;
    private long sequence;

    /** Returns the current time in microseconds. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Adds a step that runs after a delay in microseconds. */
    public void after(long delayMicros, Runnable action) {
        steps.add(new Step(nowMicros + Math.max(0, delayMicros), sequence++, action));
    }

    /** Runs every step up to a time in microseconds. */
    public void runUntil(long endMicros) {
        while (!steps.isEmpty() && steps.peek().atMicros() <= endMicros) {
            Step step = steps.poll();
            nowMicros = step.atMicros();
            step.action().run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }
}
