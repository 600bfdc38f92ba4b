package org.hyssophitch.core.call;

import java.util.HashSet;
import java.util.Set;

/**
 * One service's round of questions for load. Not thread-safe; owned by the call engine.
 */
final class LoadRound {

    private final Set<String> awaited = new HashSet<>();
    private boolean isRunning;
    private long deadlineMicros;
    private long nextMicros;
    private long wakeMicros;

    /** Starts a round that waits for the servers given. */
    void start(Set<String> servers, long newDeadlineMicros, long newNextMicros) {
        awaited.clear();
        awaited.addAll(servers);
        isRunning = true;
        deadlineMicros = newDeadlineMicros;
        nextMicros = newNextMicros;
    }

    /** Puts the next round off without asking anyone. */
    void postpone(long newNextMicros) {
        nextMicros = newNextMicros;
    }

    void onAnswer(String server) {
        awaited.remove(server);
    }

    /** Returns whether every answer is there, or the time to wait for them has passed. */
    boolean isOver(long nowMicros) {
        return isRunning && (awaited.isEmpty() || nowMicros >= deadlineMicros);
    }

    void end() {
        isRunning = false;
    }

    boolean isRunning() {
        return isRunning;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Returns the time in microseconds from which on the next round may start. */
    long nextMicros() {
        return nextMicros;
    }

    /** Returns the time in microseconds of the latest timer that was set for this service. */
    long wakeMicros() {
        return wakeMicros;
    }

    void setWakeMicros(long value) {
        wakeMicros = value;
    }
}
