package org.hyssophitch.entry;

import org.tinylog.Logger;

/**
 * Task that an executor runs again and again. An executor doesn't repeat a task that throws, so a failure of one run is
 * logged instead. Not thread-safe; runs on the thread of its executor.
 */
final class RepeatedTask implements Runnable {

    private final String name;
    private final Runnable task;
    private boolean hasFailed;

    /**
     * Creates a task.
     *
     * @param name name of the task, for log lines
     * @param task what is done in each run
     */
    RepeatedTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    @Override
    public void run() {
        try {
            task.run();
            hasFailed = false;
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            logFirst(e);
        }
    }

    /** Logs the first of several failures in a row; logging may fail itself when memory is short. */
    private void logFirst(Throwable failure) {
        if (hasFailed) {
            return;
        }
        hasFailed = true;
        try {
            Logger.error("{} failed and runs again: {}", name, failure.toString());
        } catch (OutOfMemoryError e) {
            hasFailed = false;
        }
    }
}
