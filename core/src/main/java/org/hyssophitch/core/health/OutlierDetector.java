package org.hyssophitch.core.health;

/**
 * Health of one backend server as this entry host sees it: admitted, ejected, or on trial after an ejection. Not
 * thread-safe; owned by the call engine.
 *
 * <p>A server is ejected after consecutive failures, for a time that doubles with each ejection. Then one trial
 * attempt decides whether it returns.
 */
public final class OutlierDetector {

    /** Health states. */
    public enum State {
        ADMITTED,
        EJECTED,
        ON_TRIAL
    }

    private static final int FAILURES_TO_EJECT = 3;
    private static final long BASE_EJECTION_MICROS = 500_000;
    private static final int MAX_DOUBLINGS = 5;

    private State state = State.ADMITTED;
    private int failures;
    private int ejections;
    private long ejectedUntilMicros;
    private boolean isTrialRunning;

    /** Returns the current state; an ejection that is over becomes a trial. */
    public State state(long nowMicros) {
        if (state == State.EJECTED && nowMicros >= ejectedUntilMicros) {
            state = State.ON_TRIAL;
            isTrialRunning = false;
        }
        return state;
    }

    /** Returns whether an attempt may be sent to the server. */
    public boolean isAvailable(long nowMicros) {
        return switch (state(nowMicros)) {
            case ADMITTED -> true;
            case EJECTED -> false;
            case ON_TRIAL -> !isTrialRunning;
        };
    }

    /** Notes that an attempt was sent. */
    public void onAttempt() {
        if (state == State.ON_TRIAL) {
            isTrialRunning = true;
        }
    }

    /** Notes that an attempt ended without telling anything about the server's health. */
    public void onCancelled() {
        isTrialRunning = false;
    }

    /** Notes a whole answer, and returns whether the server was readmitted by it. */
    public boolean onSuccess() {
        boolean isReadmitted = state == State.ON_TRIAL;
        state = isReadmitted ? State.ADMITTED : state;
        isTrialRunning = false;
        if (isReadmitted || state == State.ADMITTED) {
            failures = 0;
            ejections = isReadmitted ? ejections : Math.max(0, ejections - 1);
        }
        return isReadmitted;
    }

    /**
     * Notes a failure, and returns whether the server was ejected by it.
     *
     * @param mayEject whether enough other servers remain
     * @param nowMicros current time in microseconds
     */
    public boolean onFailure(boolean mayEject, long nowMicros) {
        failures++;
        isTrialRunning = false;
        boolean isDue = state == State.ON_TRIAL || state == State.ADMITTED && failures >= FAILURES_TO_EJECT;
        if (!isDue || !mayEject) {
            return false;
        }
        state = State.EJECTED;
        ejectedUntilMicros = nowMicros + (BASE_EJECTION_MICROS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        failures = 0;
        return true;
    }
}
