package org.hyssophitch.core.timeline;

/**
 * Hybrid logical clock of one process. Thread-safe; lives as long as its process.
 */
public final class HybridClock {

    /** Maximum lead of a remote timestamp over the local wall clock, in microseconds; later timestamps are ignored. */
    private static final long MAX_LEAD_MICROS = 60_000_000;

    private HybridTimestamp last = HybridTimestamp.ZERO;

    /** Returns a timestamp later than every timestamp returned or observed before. */
    public synchronized HybridTimestamp tick(long nowMicros) {
        last = nowMicros > last.micros()
                ? new HybridTimestamp(nowMicros, 0)
                : new HybridTimestamp(last.micros(), last.counter() + 1);
        return last;
    }

    /** Advances the clock to a timestamp of another process, so that later local events sort after it. */
    public synchronized void observe(HybridTimestamp remote, long nowMicros) {
        boolean isPlausible = remote.micros() <= nowMicros + MAX_LEAD_MICROS;
        if (isPlausible && remote.compareTo(last) > 0) {
            last = remote;
        }
    }
}
