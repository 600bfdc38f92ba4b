package org.hyssophitch.core.store;

/** Clock and timers of the thread that owns a {@link KindWatcher}; an interface so that tests can use virtual time. */
public interface Timers {

    /** Returns the current time in microseconds. */
    long nowMicros();

    /** Runs a task once after a delay in microseconds. */
    void after(long micros, Runnable task);
}
