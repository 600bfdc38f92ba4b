package org.hyssophitch.core.store;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers that run when the test advances the clock; those due at the same time run in the order of their creation. */
final class VirtualTimers implements Timers {

    private record Task(long at, long order, Runnable run) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private long now;
    private long created;

    @Override
    public long nowMicros() {
        return now;
    }

    @Override
    public void after(long micros, Runnable task) {
        created++;
        tasks.add(new Task(now + micros, created, task));
    }

    void advance(long micros) {
        long end = now + micros;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task next = tasks.poll();
            now = next.at();
            next.run().run();
        }
        now = end;
    }
}
