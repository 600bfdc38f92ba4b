package org.hyssophitch.core.call;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.hyssophitch.core.admission.CallQueue.QueuedCall;
import org.hyssophitch.core.configuration.Criticality;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.quota.QuotaDecision;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.team.Caller;

/**
 * Mutable state of one call from its arrival to its final answer. Not thread-safe; owned by the call engine.
 */
final class ActiveCall {

    /**
     * One attempt in flight.
     *
     * @param number number of the attempt, from 1
     * @param server backend server that it was sent to
     * @param startedMicros time in microseconds at which it was sent
     * @param queueFactor estimated queueing delay at the server in units of its service time
     * @param slowdown slowdown in the server's latest load report when it was sent; at least 1
     */
    record Attempt(int number, ServerState server, long startedMicros, double queueFactor, double slowdown) {}

    /** Number of attempt keys reserved for each call; also bounds its attempts. */
    private static final int KEYS_PER_CALL = 64;
    /** Upper bound on the attempts without a connection that don't count against the attempt limit. */
    private static final int MAX_UNCOUNTED_ATTEMPTS = 3;

    private final CallRequest request;
    private final ServiceState service;
    private final long arrivedMicros;
    private final Map<Integer, Attempt> attempts = new LinkedHashMap<>();
    private final Set<String> tried = new HashSet<>();
    private int attemptsStarted;
    private int unsentAttempts;
    private long waitUntilMicros;
    private int place = 1;
    private int relayingAttempt;
    private int status;
    private int fallbackAttempt;
    private int fallbackStatus;
    private boolean mayHaveRun;
    private boolean isForwardLost;
    private boolean isKeyRemoved;
    private boolean isCallerGone;
    private boolean isSuspectRunning;
    private boolean isWaiting;
    private Optional<QuotaDecision.Granted> quotaToken = Optional.empty();
    private Reason lastLoss = Reason.CONNECTION_LOST;

    ActiveCall(CallRequest request, ServiceState service, long arrivedMicros) {
        this.request = request;
        this.service = service;
        this.arrivedMicros = arrivedMicros;
    }

    CallRequest request() {
        return request;
    }

    ServiceState service() {
        return service;
    }

    long callId() {
        return request.callId();
    }

    long arrivedMicros() {
        return arrivedMicros;
    }

    QueuedCall queueEntry() {
        CallPolicy policy = request.policy();
        long due = Math.min(policy.targetMicros(), request.deadlineMicros());
        return new QueuedCall(callId(), policy.priority(), due, team());
    }

    /** Returns the name of the caller's team; empty without one. */
    String team() {
        return request.caller() instanceof Caller.Member m ? m.team() : "";
    }

    int attemptsStarted() {
        return attemptsStarted;
    }

    Collection<Attempt> attempts() {
        return attempts.values();
    }

    Collection<String> tried() {
        return tried;
    }

    Attempt attempt(int number) {
        return attempts.get(number);
    }

    Attempt start(ServerState server, long nowMicros, double queueFactor) {
        attemptsStarted++;
        Attempt a = new Attempt(attemptsStarted, server, nowMicros, queueFactor, slowdown(server));
        attempts.put(a.number(), a);
        tried.add(server.name());
        server.onStart(key(a.number()), nowMicros);
        return a;
    }

    private static double slowdown(ServerState server) {
        return Math.max(1, server.report().map(LoadReport::slowdown).orElse(1.0));
    }

    Attempt end(int number) {
        return attempts.remove(number);
    }

    /** Returns the key of one attempt, unique within the entry host. */
    long key(int attempt) {
        return callId() * KEYS_PER_CALL + attempt;
    }

    boolean isBulk() {
        return service.service().criticality() == Criticality.BULK;
    }

    boolean isRelaying() {
        return relayingAttempt > 0;
    }

    /** Returns the attempt whose response is being relayed; 0 without one. */
    int relayingAttempt() {
        return relayingAttempt;
    }

    void setRelayingAttempt(int attempt) {
        relayingAttempt = attempt;
    }

    /** Keeps an attempt's error response as the fallback answer, in case no later attempt does better. */
    void setFallback(int attempt, int newStatus) {
        fallbackAttempt = attempt;
        fallbackStatus = newStatus;
    }

    void dropFallback() {
        fallbackAttempt = 0;
    }

    /** Returns the attempt whose response is the fallback answer; 0 without one. */
    int fallbackAttempt() {
        return fallbackAttempt;
    }

    int fallbackStatus() {
        return fallbackStatus;
    }

    int status() {
        return status;
    }

    void setStatus(int value) {
        status = value;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether no attempt is in flight and none has run the request. */
    boolean isUnsent() {
        return attempts.isEmpty() && !mayHaveRun;
    }

    /** Records that an attempt was lost, so that the request may have run. */
    void onLoss(Reason reason) {
        mayHaveRun = true;
        lastLoss = reason;
    }

    /** Records that another entry host got the call and didn't answer; it may have used all attempts. */
    void onForwardLost() {
        isForwardLost = true;
    }

    /** Returns whether the API key of the caller is no longer valid, so that no attempt may be started. */
    boolean isKeyRemoved() {
        return isKeyRemoved;
    }

    void setKeyRemoved(boolean value) {
        isKeyRemoved = value;
    }

    Reason lastLoss() {
        return lastLoss;
    }

    /** Returns the token of its team's quota; empty if it needs none or waits for it. */
    Optional<QuotaDecision.Granted> quotaToken() {
        return quotaToken;
    }

    void setQuotaToken(QuotaDecision.Granted value) {
        quotaToken = Optional.of(value);
    }

    boolean isCallerGone() {
        return isCallerGone;
    }

    void setCallerGone() {
        isCallerGone = true;
    }

    boolean isSuspectRunning() {
        return isSuspectRunning;
    }

    void setSuspectRunning(boolean value) {
        isSuspectRunning = value;
    }

    /** Records that no byte of an attempt was sent, so that it doesn't count against the attempt limit. */
    void onUnsent() {
        unsentAttempts++;
    }

    /** Marks the call as waiting for server capacity; returns whether it was not marked before. */
    boolean markWaiting() {
        boolean isNew = !isWaiting;
        isWaiting = true;
        return isNew;
    }

    /** Returns the time in microseconds until which the call may wait for server capacity. */
    long waitUntilMicros() {
        return waitUntilMicros;
    }

    void setWaitUntilMicros(long value) {
        waitUntilMicros = value;
    }

    /** Returns the latest known place in the order of waiting calls, from 1. */
    int place() {
        return place;
    }

    void setPlace(int value) {
        place = value;
    }

    /** Returns whether another attempt is safe and allowed, apart from the retry and hedge budgets. */
    boolean mayTryAgain() {
        boolean isSafe = request.idempotent() || !mayHaveRun && attempts.isEmpty();
        return isSafe && request.mayRetry() && request.replayable() && hasAttemptsLeft();
    }

    /** Returns whether the call may start an attempt now: its first one, a retry or a hedge. */
    boolean mayStart() {
        return attemptsStarted == 0 && !isKeyRemoved || mayTryAgain();
    }

    /** Returns whether the only attempt so far is in flight without a response. */
    boolean isOnFirstAttempt() {
        return attemptsStarted == 1 && attempts.size() == 1 && !isRelaying();
    }

    /** Returns whether the attempt limit allows another attempt. */
    boolean hasAttemptsLeft() {
        return attemptsLeft() > 0 && !isRelaying();
    }

    /** Returns the number of further attempts that the attempt limit allows. */
    int attemptsLeft() {
        int routeLimit = request.policy().maxAttempts();
        int limit = routeLimit > 0 ? routeLimit : service.service().retry().maxAttempts();
        int uncounted = Math.min(unsentAttempts, MAX_UNCOUNTED_ATTEMPTS);
        return isForwardLost || isKeyRemoved ? 0 : Math.min(KEYS_PER_CALL - 1, limit) - attemptsStarted + uncounted;
    }
}
