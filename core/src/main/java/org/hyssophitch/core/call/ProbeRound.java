package org.hyssophitch.core.call;

import java.util.HashSet;
import java.util.Set;

/**
 * State of one service's rounds of load probes: the servers probed in the current round and the time of the next one.
 * Not thread-safe; owned by the call engine.
 */
final class ProbeRound {

    /** Consecutive probe answers without a load report after which a service's servers are no longer probed. */
    private static final int MAX_ANSWERS_WITHOUT_LOAD = 6;

    private final Set<String> awaited = new HashSet<>();
    private final Set<String> probed = new HashSet<>();
    private int consecutiveAnswersWithoutLoad;
    private boolean isRunning;
    private boolean isFirst;
    private long deadlineMicros;
    private long nextMicros;
    private long timerMicros;

    /**
     * Starts a round that waits for the probes of the given servers to end.
     *
     * @param first whether a second round may follow immediately and probe other servers
     */
    void start(Set<String> servers, boolean first, long newDeadlineMicros, long newNextMicros) {
        awaited.clear();
        awaited.addAll(servers);
        probed.clear();
        probed.addAll(servers);
        isFirst = first;
        isRunning = true;
        deadlineMicros = newDeadlineMicros;
        nextMicros = newNextMicros;
    }

    /** Delays the next round without probing any server. */
    void postpone(long newNextMicros) {
        nextMicros = newNextMicros;
    }

    /** Records whether an answered probe contained a load report. */
    void onProbeAnswered(boolean hasReport) {
        consecutiveAnswersWithoutLoad = hasReport ? 0 : consecutiveAnswersWithoutLoad + 1;
    }

    /** Returns whether probes are useful, because the service's servers report their load. */
    boolean isProbingUseful() {
        return consecutiveAnswersWithoutLoad < MAX_ANSWERS_WITHOUT_LOAD;
    }

    void onProbeCompleted(String server) {
        awaited.remove(server);
    }

    /** Returns whether every probe of the running round has ended, or the round has timed out. */
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

    /** Returns the servers probed in this round. */
    Set<String> probed() {
        return Set.copyOf(probed);
    }

    boolean isRunning() {
        return isRunning;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Returns the earliest time in microseconds at which the next round may start. */
    long nextMicros() {
        return nextMicros;
    }

    /** Returns the time in microseconds of the latest round timer set for this service. */
    long timerMicros() {
        return timerMicros;
    }

    void setTimerMicros(long value) {
        timerMicros = value;
    }
}
