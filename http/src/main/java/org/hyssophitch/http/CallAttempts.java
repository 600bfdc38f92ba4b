package org.hyssophitch.http;

import java.util.HashMap;
import java.util.Map;

/** Attempts of one call, by their numbers. Not thread-safe; confined to one event loop. */
final class CallAttempts {

    private final Map<Integer, BackendAttempt> attempts = new HashMap<>();
    private int started;

    /** Adds an attempt and starts it. */
    void start(int number, BackendAttempt attempt, BackendPools pools) {
        attempts.put(number, attempt);
        started++;
        attempt.start(pools);
    }

    BackendAttempt get(int number) {
        return attempts.get(number);
    }

    /** Cancels an attempt and forgets it; one that is unknown was cancelled before. */
    void cancel(int number) {
        BackendAttempt attempt = attempts.remove(number);
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Ends an attempt that can't be started or whose request can't be written. */
    void fail(int number) {
        BackendAttempt attempt = attempts.get(number);
        if (attempt != null) {
            attempt.fail();
        }
    }

    /** Cancels all attempts but one, which may be null. */
    void cancelAllBut(BackendAttempt kept) {
        attempts.values().stream().filter(a -> a != kept).forEach(BackendAttempt::cancel);
    }

    /** Returns the number of attempts that were started. */
    int started() {
        return started;
    }
}
