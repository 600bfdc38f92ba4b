package org.hyssophitch.core.timeline;

/**
 * Hybrid logical clock of one process. Thread-safe; lives as long as its process.
 */
public final class HybridClock {

    /** Largest lead over the local wall clock, in microseconds, that a remote timestamp may impose. */
    private static final long MAX_LEAD_MICROS = 60_000_000;

    private HybridTimestamp last = HybridTimestamp.ZERO;

    /** Returns a timestamp later than all returned or observed before. */
    public synchronized HybridTimestamp tick(long nowMicros) {
        last = nowMicros > last.micros()
                ? new HybridTimestamp(nowMicros, 0)
                : new HybridTimestamp(last.micros(), last.counter() + 1);
        return last;
    }

    /** Takes a remote process's timestamp into account, so that later local events sort after it. */
    public synchronized void observe(HybridTimestamp remote, long nowMicros) {
        boolean plausible = remote.micros() <= nowMicros + MAX_LEAD_MICROS;
        if (plausible && remote.compareTo(last) > 0) {
            last = remote;
        }
    }
}
