package org.hyssophitch.core.health;

/**
 * Passive health check (outlier ejection) of one backend server by the attempts of this entry host. Not thread-safe;
 * confined to the call engine.
 *
 * <p>A server is ejected after several consecutive failures, for a time that doubles with each ejection. After that, a
 * single trial attempt decides whether it is admitted again. Each answer of an admitted server takes back one doubling.
 * An answer counts when its status arrives, unless that is a server error.
 */
public final class OutlierDetector {

    /** Health states of a server. */
    public enum State {
        /** The server gets attempts. */
        ADMITTED,
        /** The server gets no attempts until the ejection time is over. */
        EJECTED,
        /** The ejection time is over; the server gets one attempt at a time until one succeeds or fails. */
        ON_TRIAL
    }

    private static final int FAILURES_TO_EJECT = 3;
    private static final long BASE_EJECTION_MICROS = 500_000;
    /** Bounds the ejection time to 32 times the base. */
    private static final int MAX_DOUBLINGS = 5;

    private State state = State.ADMITTED;
    private int consecutiveFailures;
    private int ejectionBackoffExponent;
    private long ejectedUntilMicros;
    private boolean isTrialInFlight;

    /** Returns the current state; changes from ejected to on trial when the ejection time is over. */
    public State state(long nowMicros) {
        if (state == State.EJECTED && nowMicros >= ejectedUntilMicros) {
            state = State.ON_TRIAL;
            isTrialInFlight = false;
        }
        return state;
    }

    /** Returns whether an attempt may be sent to the server. */
    public boolean isAvailable(long nowMicros) {
        return switch (state(nowMicros)) {
            case ADMITTED -> true;
            case EJECTED -> false;
            case ON_TRIAL -> !isTrialInFlight;
        };
    }

    /** Records that an attempt was sent. */
    public void onAttempt() {
        if (state == State.ON_TRIAL) {
            isTrialInFlight = true;
        }
    }

    /** Records that an attempt ended with a result that says nothing about the server's health. */
    public void onCancelled() {
        isTrialInFlight = false;
    }

    /** Records an answer without a server error and returns whether it readmitted the server. */
    public boolean onSuccess() {
        boolean isReadmitted = state == State.ON_TRIAL;
        state = isReadmitted ? State.ADMITTED : state;
        isTrialInFlight = false;
        if (isReadmitted || state == State.ADMITTED) {
            consecutiveFailures = 0;
            ejectionBackoffExponent = isReadmitted ? ejectionBackoffExponent : Math.max(0, ejectionBackoffExponent - 1);
        }
        return isReadmitted;
    }

    /**
     * Records a failure and returns whether it ejected the server.
     *
     * @param isEjectionAllowed whether enough other servers remain available
     * @param nowMicros current time in microseconds
     */
    public boolean onFailure(boolean isEjectionAllowed, long nowMicros) {
        consecutiveFailures++;
        isTrialInFlight = false;
        boolean isEjectionDue =
                state == State.ON_TRIAL || state == State.ADMITTED && consecutiveFailures >= FAILURES_TO_EJECT;
        if (!isEjectionDue || !isEjectionAllowed) {
            return false;
        }
        state = State.EJECTED;
        ejectedUntilMicros = nowMicros + (BASE_EJECTION_MICROS << Math.min(ejectionBackoffExponent, MAX_DOUBLINGS));
        ejectionBackoffExponent++;
        consecutiveFailures = 0;
        return true;
    }
}
