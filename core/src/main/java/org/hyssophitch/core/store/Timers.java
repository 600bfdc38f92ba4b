package org.hyssophitch.core.store;

/** Clock and timers of the thread that follows objects, so that tests can run in virtual time. */
public interface Timers {

    /** Returns the current time in microseconds. */
    long nowMicros();

    /** Runs a step once after a time in microseconds. */
    void after(long micros, Runnable step);
}
