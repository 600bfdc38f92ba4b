package org.hyssophitch.core.store;

import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.retry.Backoff;

/**
 * Runs the steps of a duty that has no end, where each step begins the next one. A step that throws, or whose result
 * hasn't been handled at its deadline, doesn't end the duty: it is started again after a backoff.
 *
 * <p>Not thread-safe; owned by the thread of its timers.
 */
public final class StepRunner {

    /** What a duty does or waits for. The names are written to the log in lower case. */
    public enum Step {
        /** Waits for a list. */
        LIST,
        /** Waits for changes. */
        WATCH,
        /** Waits for a write. */
        WRITE,
        /** Handles the result of an earlier step. */
        HANDLE,
        /** Waits for the time of the next step. */
        PAUSE
    }

    private static final long INITIAL_BACKOFF_MILLIS = 100;
    /** Upper bound in milliseconds of the delay after a failure, which may recur with each start. */
    private static final long MAX_BACKOFF_MILLIS = 8_000;
    /** Time in microseconds that a step may take longer than it waits; above the timeouts of all calls. */
    private static final long MARGIN_MICROS = 5_000_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final String OVERDUE = "overdue";

    private final Timers timers;
    private final Backoff backoff;
    private final Runnable restart;
    private final BiConsumer<Step, String> onFailure;
    /** Identifies the current step; the result of an earlier one is ignored. */
    private long stepId;

    private Step step = Step.PAUSE;
    private long deadlineMicros = Long.MAX_VALUE;
    private boolean isOverdue;
    private boolean isStopped;

    /**
     * Creates a runner without a step.
     *
     * @param restart begins the duty's first step
     * @param onFailure receives the step that failed and the class of what was thrown, or that the step was overdue
     */
    public StepRunner(Timers timers, RandomGenerator random, Runnable restart, BiConsumer<Step, String> onFailure) {
        this.timers = timers;
        this.backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
        this.restart = restart;
        this.onFailure = onFailure;
    }

    /** Returns the current step. */
    public Step step() {
        return step;
    }

    /** Ignores all results from now on. */
    public void stop() {
        isStopped = true;
    }

    /** Records that a result was handled, so that the next failure is followed by the first delay again. */
    public void onHandled() {
        backoff.reset();
    }

    /**
     * Begins a step.
     *
     * @param waitMicros time in microseconds that the step may wait before it is answered
     * @param onResult handles its result
     * @return the consumer of the result, which does nothing once another step has begun
     */
    public <R> Consumer<R> begin(Step next, long waitMicros, Consumer<R> onResult) {
        stepId++;
        long current = stepId;
        step = next;
        deadlineMicros = timers.nowMicros() + waitMicros + MARGIN_MICROS;
        isOverdue = false;
        return r -> {
            if (current == stepId && !isStopped) {
                step = Step.HANDLE;
                run(() -> onResult.accept(r));
            }
        };
    }

    /** Runs a task after a delay in microseconds. */
    public void pause(long micros, Runnable next) {
        Consumer<Runnable> onEnd = begin(Step.PAUSE, micros, Runnable::run);
        timers.after(micros, () -> onEnd.accept(next));
    }

    /** Runs a task that begins the next step; a failure is followed by a start. */
    public void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            recover(e.getClass().getSimpleName());
        }
    }

    /**
     * Starts again if the current step is overdue. Called several times a second; the result of a step that seems late
     * because the process was paused arrives before the second call.
     */
    public void checkProgress() {
        if (isStopped || timers.nowMicros() <= deadlineMicros) {
            return;
        }
        if (isOverdue) {
            recover(OVERDUE);
        } else {
            isOverdue = true;
        }
    }

    /** Starts again later. If not even this succeeds, the deadline of the pause passes and it is done again. */
    private void recover(String cause) {
        Step failed = step;
        pause(backoff.nextMillis() * MICROS_PER_MILLI, restart);
        onFailure.accept(failed, cause);
    }

    /** Returns the name of a step as it is written to the log. */
    public static String logName(Step step) {
        return step.name().toLowerCase(Locale.ROOT);
    }
}
