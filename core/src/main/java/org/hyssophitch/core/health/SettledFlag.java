package org.hyssophitch.core.health;

/**
 * A flag that takes a new value for others only once it has kept that value for some time, so that a state that changes
 * back and forth isn't spread. Not thread-safe; confined to one thread.
 */
public final class SettledFlag {

    private final long setAfterMicros;
    private final long clearAfterMicros;
    private boolean current;
    private boolean settled;
    private long changedMicros;

    /**
     * Creates a flag that isn't set.
     *
     * @param setAfterMicros time in microseconds after which a set flag counts
     * @param clearAfterMicros time in microseconds after which a cleared flag counts
     */
    public SettledFlag(long setAfterMicros, long clearAfterMicros) {
        this.setAfterMicros = setAfterMicros;
        this.clearAfterMicros = clearAfterMicros;
    }

    /** Sets or clears the flag. */
    public void set(boolean value, long nowMicros) {
        if (value != current) {
            current = value;
            changedMicros = nowMicros;
        }
    }

    /** Returns the value that was set last. */
    public boolean current() {
        return current;
    }

    /** Returns the value that has lasted. */
    public boolean settled(long nowMicros) {
        long after = current ? setAfterMicros : clearAfterMicros;
        if (current != settled && nowMicros - changedMicros >= after) {
            settled = current;
        }
        return settled;
    }
}
