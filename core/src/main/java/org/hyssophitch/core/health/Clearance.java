package org.hyssophitch.core.health;

/**
 * Statement that a request got an answer that shows that it doesn't crash servers. Immutable.
 *
 * @param fingerprint fingerprint of the request
 * @param micros time of the answer in microseconds; suspicions of crashes up to then don't count
 */
public record Clearance(String fingerprint, long micros) {

    /** Returns the clearance up to a time at most; the clock of the host that sent it may be ahead. */
    public Clearance notAfter(long nowMicros) {
        return micros <= nowMicros ? this : new Clearance(fingerprint, nowMicros);
    }

    /** Returns whether a suspicion doesn't count any more. */
    public boolean covers(SuspectTracker.Suspicion s) {
        return s.fingerprint().equals(fingerprint) && s.crashMicros() <= micros;
    }
}
