package org.hyssophitch.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.hyssophitch.core.admission.AdaptiveLimit;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.health.OutlierDetector;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.core.statement.ServerConditions;

/**
 * State of one backend server as seen by this entry host: attempts in flight, in-flight limit, health, load and speed.
 * Not thread-safe; confined to the call engine.
 */
public final class ServerState {

    /** Time in microseconds for which a new server is credited load probes, so that it can be probed at once. */
    private static final long INITIAL_PROBE_CREDIT_MICROS = 3_000_000;
    /** Time in microseconds for which a server gets no work after it refused work or didn't answer a load probe. */
    private static final long REFUSAL_BACKOFF_MICROS = 250_000;
    /** Weight of a new sample in the exponential moving average of the latency ratio. */
    private static final double LATENCY_RATIO_WEIGHT = 0.35;
    /** Upper bound of the latency ratio of one sample. */
    private static final double MAX_LATENCY_RATIO = 8;
    /** Half-life in microseconds with which the latency ratio returns to 1 without new samples. */
    private static final double LATENCY_RATIO_HALF_LIFE_MICROS = 3_000_000;
    /** Weight of a new sample in the exponential moving average of the service time. */
    private static final double SERVICE_TIME_WEIGHT = 0.2;

    private final boolean isEntryHost;
    private BackendServer server;
    private AdaptiveLimit limit;
    private int attemptLimit;
    private final ServerConditions conditions;
    private final OutlierDetector health = new OutlierDetector();
    private final Map<Long, Long> startMicrosByAttempt = new HashMap<>();
    private LoadReport report;
    private int ownAtReport;
    private double serviceMicros;
    private boolean isLeaving;
    private boolean isEvacuated;
    private long lastAnswerMicros;
    private long warmUpEndMicros;
    private boolean isMisdirected;
    private double latencyRatio = 1;
    private long latencyRatioMicros;
    private long refusingUntilMicros;
    private TokenBucket loadProbeBucket;
    private double loadProbeBurst;

    /**
     * Creates the initial state of a server.
     *
     * @param server definition of the server
     * @param attemptLimit maximum number of attempts of this entry host in flight at the server
     * @param conditions what the server has stated in its answers
     */
    public ServerState(BackendServer server, int attemptLimit, ServerConditions conditions) {
        this(server, attemptLimit, conditions, false);
    }

    private ServerState(BackendServer server, int attemptLimit, ServerConditions conditions, boolean isEntryHost) {
        this.isEntryHost = isEntryHost;
        this.server = server;
        this.conditions = conditions;
        this.attemptLimit = attemptLimit;
        this.limit = new AdaptiveLimit(attemptLimit);
    }

    /** Creates the initial state of a server that has stated nothing. */
    public ServerState(BackendServer server, int attemptLimit) {
        this(server, attemptLimit, new ServerConditions(server.name()));
    }

    /** Creates the initial state of an entry host that takes requests in place of servers. */
    public static ServerState ofEntryHost(BackendServer host, int attemptLimit) {
        return new ServerState(host, attemptLimit, new ServerConditions(host.name()), true);
    }

    /** Returns whether this is another entry host, to which requests are forwarded, and not a backend server. */
    public boolean isEntryHost() {
        return isEntryHost;
    }

    /** Applies a changed definition of the same server; a changed attempt limit resets the adaptive limit. */
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

    /** Returns the conditions that the server has stated in its answers. */
    public ServerConditions conditions() {
        return conditions;
    }

    public AdaptiveLimit limit() {
        return limit;
    }

    public int inFlight() {
        return startMicrosByAttempt.size();
    }

    /**
     * Returns whether the server gets no new work because it is leaving (by its answers, its load report, the
     * configuration, the platform or other entry hosts) or because its address belongs to another server now.
     */
    public boolean isLeaving() {
        return isLeaving
                || isMisdirected
                || server.draining()
                || conditions.isLeaving()
                || report != null && report.draining();
    }

    /** Sets whether a source other than the configuration and the load report says that the server is leaving. */
    public void setLeaving(boolean value) {
        isLeaving = value;
    }

    /** Returns whether the server's availability zone is evacuated, so that it gets no new work. */
    public boolean isEvacuated() {
        return isEvacuated;
    }

    public void setEvacuated(boolean value) {
        isEvacuated = value;
    }

    /** Returns whether the server may get new work now or later: it isn't leaving, and its zone isn't evacuated. */
    public boolean isInService() {
        return !isLeaving() && !isEvacuated;
    }

    public Optional<LoadReport> report() {
        return Optional.ofNullable(report);
    }

    /** Returns the smoothed service time of the server in microseconds; 0 if unknown. */
    public double serviceMicros() {
        return serviceMicros;
    }

    /** Returns when the server last began an answer without an error, in microseconds; 0 if it never did. */
    public long lastAnswerMicros() {
        return lastAnswerMicros;
    }

    public void setLastAnswerMicros(long value) {
        lastAnswerMicros = value;
    }

    /** Stores a load report unless one as new or newer is known. */
    public void onReport(LoadReport newReport) {
        if (report == null || newReport.takenMicros() > report.takenMicros()) {
            report = newReport;
            ownAtReport = inFlight();
        }
    }

    /** Records that another server answered at the server's address, so that nothing is sent there any more. */
    public void setMisdirected() {
        isMisdirected = true;
    }

    /** Records whether the server answered a load probe and accepts work. */
    public void onLoadProbeCompleted(boolean isAccepting, long nowMicros) {
        refusingUntilMicros = isAccepting ? 0 : nowMicros + REFUSAL_BACKOFF_MICROS;
    }

    /** Records that the server refused work just now. */
    public void setRefusing(long nowMicros) {
        refusingUntilMicros = nowMicros + REFUSAL_BACKOFF_MICROS;
    }

    /** Returns whether the server recently refused work or failed to answer in a load probe. */
    public boolean isRefusing(long nowMicros) {
        return nowMicros < refusingUntilMicros;
    }

    /**
     * Adds a sample of the latency ratio.
     *
     * @param ratio latency of an answer relative to the service's usual latency at the slowdown that the server reports
     * @param nowMicros current time in microseconds
     */
    public void onLatencyRatio(double ratio, long nowMicros) {
        latencyRatio = latencyRatio(nowMicros)
                + LATENCY_RATIO_WEIGHT * (Math.min(ratio, MAX_LATENCY_RATIO) - latencyRatio(nowMicros));
        latencyRatioMicros = nowMicros;
    }

    /**
     * Returns the smoothed latency ratio: how much slower the server is than it reports. Decays towards 1 without new
     * samples.
     */
    public double latencyRatio(long nowMicros) {
        double decay = Math.pow(2, -(nowMicros - latencyRatioMicros) / LATENCY_RATIO_HALF_LIFE_MICROS);
        return 1 + (latencyRatio - 1) * decay;
    }

    /** Returns whether the server is still warming up after its start. */
    public boolean isWarmingUp(long nowMicros) {
        return nowMicros < warmUpEndMicros;
    }

    /** Sets the end of the server's warm-up, in microseconds. */
    public void setWarmUpEndMicros(long value) {
        warmUpEndMicros = value;
    }

    /**
     * Sets the budget for load probes of this entry host to the server.
     *
     * @param perSecond load probes per second
     * @param burst capacity of the token bucket
     * @param nowMicros current time in microseconds
     */
    public void setLoadProbeRate(double perSecond, double burst, long nowMicros) {
        loadProbeBurst = burst;
        if (loadProbeBucket == null) {
            loadProbeBucket = new TokenBucket(perSecond, burst, nowMicros - INITIAL_PROBE_CREDIT_MICROS);
        } else {
            loadProbeBucket.setRate(perSecond, burst, nowMicros);
        }
    }

    /** Takes one load probe from the server's budget if one is available, and returns whether it did. */
    public boolean tryTakeLoadProbe(long nowMicros) {
        return loadProbeBucket != null && loadProbeBucket.tryTake(1, nowMicros);
    }

    /**
     * Takes one load probe if at least half of the budget is left, and returns whether it did. For probes of low
     * priority, which leave the rest of the budget to more important ones.
     */
    public boolean tryTakeSpareLoadProbe(long nowMicros) {
        return hasSpareLoadProbes(nowMicros) && loadProbeBucket.tryTake(1, nowMicros);
    }

    /** Returns whether at least half of the budget for load probes is left. */
    public boolean hasSpareLoadProbes(long nowMicros) {
        return loadProbeBucket != null && loadProbeBucket.microsUntil(loadProbeBurst / 2, nowMicros) == 0;
    }

    /** Records that an attempt starts. */
    public void onStart(long attemptKey, long nowMicros) {
        startMicrosByAttempt.put(attemptKey, nowMicros);
        health.onAttempt();
        conditions.onAttempt(nowMicros);
    }

    /** Records that an attempt ended with any result; returns its duration in microseconds, 0 if it is unknown. */
    public long onEnd(long attemptKey, long nowMicros) {
        Long started = startMicrosByAttempt.remove(attemptKey);
        return started == null ? 0 : nowMicros - started;
    }

    /** Adds a sample of the service time in microseconds, without the estimated queueing time at the server. */
    public void addServiceSample(double micros) {
        serviceMicros = serviceMicros == 0 ? micros : serviceMicros + SERVICE_TIME_WEIGHT * (micros - serviceMicros);
    }

    /** Returns the elapsed time of the oldest attempt in flight in microseconds; 0 if there is none. */
    public long oldestElapsedMicros(long nowMicros) {
        long oldest = startMicrosByAttempt.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(nowMicros);
        return nowMicros - oldest;
    }

    /** Returns the attempts of other entry hosts at the server according to the latest report; -1 without a report. */
    public int othersAtReport() {
        return report == null ? -1 : Math.max(0, report.inFlight() - ownAtReport);
    }

    /** Returns whether an attempt may be sent now. */
    public boolean isEligible(long nowMicros) {
        return isInService()
                && inFlight() < limit.current()
                && health.isAvailable(nowMicros)
                && conditions.accepts(nowMicros);
    }

    /** Returns the reason why no attempt may be sent now, as written in timeline events; "eligible" if one may be. */
    public String ineligibilityReason(long nowMicros) {
        if (isLeaving()) {
            return "leaving";
        }
        if (isEvacuated) {
            return "zone-evacuated";
        }
        if (!health.isAvailable(nowMicros)) {
            return "ejected";
        }
        if (!conditions.accepts(nowMicros)) {
            return "stated-condition";
        }
        return inFlight() >= limit.current() ? "at-limit" : "eligible";
    }
}
