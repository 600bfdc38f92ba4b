package org.hyssophitch.core.call;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.hyssophitch.core.admission.CallQueue.QueuedCall;
import org.hyssophitch.core.configuration.Criticality;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.routing.ServerState;

/**
 * One call from its arrival to its final answer. Not thread-safe; owned by the call engine.
 */
final class ActiveCall {

    /**
     * One attempt in flight.
     *
     * @param number number of the attempt, from 1
     * @param server where it was sent
     * @param startedMicros when it was sent
     * @param queueFactor estimated wait at the server in units of its service time
     * @param slowdown time that work took at the server by its own word, relative to its usual time
     */
    record Attempt(int number, ServerState server, long startedMicros, double queueFactor, double slowdown) {}

    private static final int MAX_ATTEMPTS = 64;
    /** Attempts without a connection that don't count against the bound. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    private final CallRequest request;
    private final ServiceState service;
    private final long arrivedMicros;
    private final Map<Integer, Attempt> attempts = new LinkedHashMap<>();
    private final Set<String> tried = new HashSet<>();
    private int attemptsStarted;
    private int unsentAttempts;
    private long waitUntilMicros;
    private int relaying;
    private int status;
    private int keptAttempt;
    private int keptStatus;
    private boolean mayHaveRun;
    private boolean isCallerGone;
    private boolean isSuspectRunning;
    private boolean isWaiting;
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

    QueuedCall waiting() {
        CallTerms terms = request.terms();
        long wanted = Math.min(terms.targetMicros(), request.deadlineMicros());
        return new QueuedCall(callId(), terms.priority(), wanted);
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
        return callId() * MAX_ATTEMPTS + attempt;
    }

    boolean isBulk() {
        return service.service().criticality() == Criticality.BULK;
    }

    boolean isRelaying() {
        return relaying > 0;
    }

    int relaying() {
        return relaying;
    }

    void setRelaying(int attempt) {
        relaying = attempt;
    }

    /** Notes that an attempt's error answer is kept for the caller in case that no other attempt does better. */
    void setKept(int attempt, int newStatus) {
        keptAttempt = attempt;
        keptStatus = newStatus;
    }

    /** Returns the attempt whose answer is kept; 0 when there is none. */
    int keptAttempt() {
        return keptAttempt;
    }

    int keptStatus() {
        return keptStatus;
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

    /** Notes that an attempt was lost: the request may have run. */
    void onLoss(Reason reason) {
        mayHaveRun = true;
        lastLoss = reason;
    }

    Reason lastLoss() {
        return lastLoss;
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

    /** Notes that no byte of an attempt reached its server, so that it doesn't count against the bound. */
    void onUnsent() {
        unsentAttempts++;
    }

    /** Notes that the call waits for a server with room; returns whether that is new. */
    boolean markWaiting() {
        boolean isNew = !isWaiting;
        isWaiting = true;
        return isNew;
    }

    /** Returns the time in microseconds until which the call may wait for a server with room. */
    long waitUntilMicros() {
        return waitUntilMicros;
    }

    void setWaitUntilMicros(long value) {
        waitUntilMicros = value;
    }

    /** Returns whether the rules allow one more attempt, budgets aside. */
    boolean mayTryAgain() {
        boolean isSafe = request.idempotent() || !mayHaveRun && attempts.isEmpty();
        return isSafe && request.mayRetry() && request.replayable() && hasAttemptsLeft();
    }

    /** Returns whether the bound on attempts allows one more. */
    boolean hasAttemptsLeft() {
        int allowed = request.terms().maxAttempts();
        int most = allowed > 0 ? allowed : service.service().retry().maxAttempts();
        int unsent = Math.min(unsentAttempts, MAX_UNSENT_ATTEMPTS);
        return attemptsStarted - unsent < Math.min(MAX_ATTEMPTS - 1, most) && !isRelaying();
    }
}
