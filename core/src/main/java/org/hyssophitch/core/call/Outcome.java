package org.hyssophitch.core.call;

/** What a caller may conclude about its request. */
public enum Outcome {
    /** A backend server ran the request and its whole answer follows. */
    COMPLETED("completed"),
    /** No backend server ran the request; sending it again is safe. */
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
