package org.hyssophitch.core.call;

/** Outcome of a request, as a caller may rely on it. */
public enum Outcome {
    /** A backend server ran the request, and its complete response follows. */
    COMPLETED("completed"),
    /** No backend server ran the request; resending it is safe. */
    NOT_RUN("not-run"),
    /** A backend server may have run the request. */
    UNKNOWN("unknown");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value of the outcome header. */
    public String wireName() {
        return wireName;
    }
}
