package org.hyssophitch.core.call;

import java.util.HashSet;
import java.util.Set;

/**
 * One service's round of questions for load. Not thread-safe; owned by the call engine.
 */
final class ProbeRound {

    /** Answers without a load in a row after which the service isn't asked any more. */
    private static final int MAX_ANSWERS_WITHOUT_LOAD = 6;

    private final Set<String> awaited = new HashSet<>();
    private final Set<String> asked = new HashSet<>();
    private int answersWithoutLoad;
    private boolean isRunning;
    private boolean isFirst;
    private long deadlineMicros;
    private long nextMicros;
    private long wakeMicros;

    /**
     * Starts a round that waits for the servers given.
     *
     * @param first whether further servers may be asked after it
     */
    void start(Set<String> servers, boolean first, long newDeadlineMicros, long newNextMicros) {
        awaited.clear();
        awaited.addAll(servers);
        asked.clear();
        asked.addAll(servers);
        isFirst = first;
        isRunning = true;
        deadlineMicros = newDeadlineMicros;
        nextMicros = newNextMicros;
    }

    /** Puts the next round off without asking anyone. */
    void postpone(long newNextMicros) {
        nextMicros = newNextMicros;
    }

    /** Notes whether a server that answered told its load. */
    void onProbeAnswered(boolean isTold) {
        answersWithoutLoad = isTold ? 0 : answersWithoutLoad + 1;
    }

    /** Returns whether the service's servers tell their load when they are asked. */
    boolean isUseful() {
        return answersWithoutLoad < MAX_ANSWERS_WITHOUT_LOAD;
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

    boolean isAwaiting(String server) {
        return isRunning && awaited.contains(server);
    }

    boolean isFirst() {
        return isFirst;
    }

    /** Returns the servers asked in this round. */
    Set<String> asked() {
        return Set.copyOf(asked);
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
