package org.hyssophitch.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.hyssophitch.core.admission.AdaptiveLimit;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.health.OutlierDetector;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.load.TokenBucket;

/**
 * What this entry host knows of one backend server. Not thread-safe; owned by the call engine.
 */
public final class ServerState {

    /** Time in microseconds for which a server that was just learnt of has earned questions. */
    private static final long ASK_HEAD_START_MICROS = 3_000_000;
    /** Time in microseconds for which a server gets no work after it refused or failed to answer. */
    private static final long REFUSAL_MICROS = 250_000;
    /** Weight of a new sample in the moving average of the pace. */
    private static final double PACE_WEIGHT = 0.35;
    /** Largest ratio that one sample counts for. */
    private static final double MOST_PACE = 8;
    /** Time in microseconds in which what is known of a server's pace loses half of its weight. */
    private static final double PACE_HALF_LIFE_MICROS = 3_000_000;
    /** Weight of a new latency sample in the moving average. */
    private static final double LATENCY_WEIGHT = 0.2;

    private BackendServer server;
    private AdaptiveLimit limit;
    private int attemptLimit;
    private final OutlierDetector health = new OutlierDetector();
    private final Map<Long, Long> startedMicros = new HashMap<>();
    private LoadReport report;
    private int ownAtReport;
    private double serviceMicros;
    private boolean isLeaving;
    private long lastAnswerMicros;
    private long coldUntilMicros;
    private boolean isMisdirected;
    private double pace = 1;
    private long paceMicros;
    private long refusingUntilMicros;
    private TokenBucket asks;
    private double askBurst;

    /**
     * Creates the state of a server that nothing is known of.
     *
     * @param server the server
     * @param attemptLimit attempts that this entry host may have in flight at it
     */
    public ServerState(BackendServer server, int attemptLimit) {
        this.server = server;
        this.attemptLimit = attemptLimit;
        this.limit = new AdaptiveLimit(attemptLimit);
    }

    /** Takes over a changed definition of the same server. */
    public void redefine(BackendServer newServer, int newAttemptLimit) {
        server = newServer;
        if (newAttemptLimit != attemptLimit) {
            attemptLimit = newAttemptLimit;
            limit = new AdaptiveLimit(newAttemptLimit);
        }
    }

    public BackendServer server() {
        return server;
    }

    public String name() {
        return server.name();
    }

    public OutlierDetector health() {
        return health;
    }

    public AdaptiveLimit limit() {
        return limit;
    }

    public int inFlight() {
        return startedMicros.size();
    }

    /** Returns whether the server gets no new work: by its own word, the platform's or the operator's. */
    public boolean isLeaving() {
        return isLeaving || isMisdirected || server.draining() || report != null && report.draining();
    }

    /** Sets whether a source other than the configuration says that the server is leaving. */
    public void setLeaving(boolean value) {
        isLeaving = value;
    }

    public Optional<LoadReport> report() {
        return Optional.ofNullable(report);
    }

    /** Returns the smoothed time in microseconds that the server needs for one request; 0 when unknown. */
    public double serviceMicros() {
        return serviceMicros;
    }

    /** Returns when the server last began an answer without error, in microseconds; 0 when it never did. */
    public long lastAnswerMicros() {
        return lastAnswerMicros;
    }

    public void setLastAnswerMicros(long value) {
        lastAnswerMicros = value;
    }

    /** Takes a load report unless a newer one is known. */
    public void onReport(LoadReport newReport) {
        if (report == null || newReport.takenMicros() > report.takenMicros()) {
            report = newReport;
            ownAtReport = inFlight();
        }
    }

    /** Notes that the server's address answered as another server: nothing may be sent there any more. */
    public void setMisdirected() {
        isMisdirected = true;
    }

    /** Notes whether the server said, when it was asked, that it takes work. */
    public void onLoadProbeCompleted(boolean isAccepting, long nowMicros) {
        refusingUntilMicros = isAccepting ? 0 : nowMicros + REFUSAL_MICROS;
    }

    /** Returns whether the server said a short time ago that it takes no work, or did not answer. */
    public boolean isRefusing(long nowMicros) {
        return nowMicros < refusingUntilMicros;
    }

    /**
     * Notes how long an answer took.
     *
     * @param ratio time relative to what the service's answers take at servers of the speed that this one tells
     */
    public void onLatencyRatio(double ratio, long nowMicros) {
        pace = latencyRatio(nowMicros) + PACE_WEIGHT * (Math.min(ratio, MOST_PACE) - latencyRatio(nowMicros));
        paceMicros = nowMicros;
    }

    /** Returns how much slower the server is than it tells; fades towards 1 while nothing new is known. */
    public double latencyRatio(long nowMicros) {
        double fade = Math.pow(2, -(nowMicros - paceMicros) / PACE_HALF_LIFE_MICROS);
        return 1 + (pace - 1) * fade;
    }

    /** Returns whether the server started so short a time ago that it is still slow. */
    public boolean isWarmingUp(long nowMicros) {
        return nowMicros < coldUntilMicros;
    }

    /** Sets until when the server is slow after its start, in microseconds. */
    public void setWarmUpEndMicros(long value) {
        coldUntilMicros = value;
    }

    /** Sets how many questions for its load the server may get from this host per second. */
    public void setLoadProbeRate(double perSecond, double burst, long nowMicros) {
        askBurst = burst;
        if (asks == null) {
            asks = new TokenBucket(perSecond, burst, nowMicros - ASK_HEAD_START_MICROS);
        } else {
            asks.setRate(perSecond, burst, nowMicros);
        }
    }

    /** Takes one question out of the server's budget when there is one left, and returns whether it did. */
    public boolean tryTakeLoadProbe(long nowMicros) {
        return asks != null && asks.tryTake(1, nowMicros);
    }

    /** Takes one question when at least half of the budget is left, so that those who need it more find some. */
    public boolean tryTakeSpareLoadProbe(long nowMicros) {
        return hasSpareLoadProbes(nowMicros) && asks.tryTake(1, nowMicros);
    }

    /** Returns whether at least half of the budget for questions is left. */
    public boolean hasSpareLoadProbes(long nowMicros) {
        return asks != null && asks.microsUntil(askBurst / 2, nowMicros) == 0;
    }

    /** Notes that an attempt starts. */
    public void onStart(long attemptKey, long nowMicros) {
        startedMicros.put(attemptKey, nowMicros);
        health.onAttempt();
    }

    /** Notes that an attempt is over, however it ended; returns the time in microseconds that it took. */
    public long onEnd(long attemptKey, long nowMicros) {
        Long started = startedMicros.remove(attemptKey);
        return started == null ? 0 : nowMicros - started;
    }

    /** Adds a sample of the service time, the estimated wait at the server taken out. */
    public void addServiceSample(double micros) {
        serviceMicros = serviceMicros == 0 ? micros : serviceMicros + LATENCY_WEIGHT * (micros - serviceMicros);
    }

    /** Returns how long the oldest attempt in flight has been running, in microseconds; 0 without one. */
    public long oldestElapsedMicros(long nowMicros) {
        long oldest =
                startedMicros.values().stream().mapToLong(Long::longValue).min().orElse(nowMicros);
        return nowMicros - oldest;
    }

    /** Returns the attempts of other entry hosts at the server according to the latest report; -1 without one. */
    public int othersAtReport() {
        return report == null ? -1 : Math.max(0, report.inFlight() - ownAtReport);
    }

    /** Returns whether an attempt may be sent now. */
    public boolean isEligible(long nowMicros) {
        return !isLeaving() && inFlight() < limit.current() && health.isAvailable(nowMicros);
    }

    /** Returns why no attempt may be sent now, in a word for the time line. */
    public String ineligibilityReason(long nowMicros) {
        if (isLeaving()) {
            return "leaving";
        }
        if (!health.isAvailable(nowMicros)) {
            return "ejected";
        }
        return inFlight() >= limit.current() ? "at-limit" : "eligible";
    }
}
