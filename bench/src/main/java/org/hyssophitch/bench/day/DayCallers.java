package org.hyssophitch.bench.day;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.hyssophitch.bench.day.DayPlan.RequestKind;
import org.hyssophitch.bench.model.ModelEntryHost;
import org.hyssophitch.bench.model.VirtualTime;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.standin.CallRecord;
import org.hyssophitch.standin.CallRecord.Answer;

/**
 * The callers of a day: they send requests at random times to hosts of their zone, keep a deadline, send again as
 * answers allow, and leave. Not thread-safe; one run owns it.
 */
final class DayCallers {

    /** Time in microseconds between a caller and an entry host, one way. */
    private static final long NETWORK_DELAY_MICROS = 1_000;
    /** Shortest pause in microseconds before a request is sent again, and its random part. */
    private static final long RETRY_DELAY_MICROS = 20_000;
    /** Part of the time left for which a caller waits when it is told to. */
    private static final double MAX_WAIT_FRACTION = 1.0 / 3;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    /** One request of a caller and its sendings. */
    private static final class ClientCall {
        private final RequestKind kind;
        private final String zone;
        private final boolean isImpatient;
        private final long startMicros;
        private final Set<String> failedHosts = new HashSet<>();
        private int sendCount;
        private boolean isCompleted;
        private CallRequest sent;
        private DayHost host;

        private ClientCall(RequestKind kind, String zone, boolean isImpatient, long startMicros) {
            this.kind = kind;
            this.zone = zone;
            this.isImpatient = isImpatient;
            this.startMicros = startMicros;
        }

        private long deadlineMicros() {
            return startMicros + kind.deadlineMillis() * MICROS_PER_MILLI;
        }
    }

    private final DayPlan plan;
    private final DayFleet fleet;
    private final VirtualTime time;
    private final SplittableRandom arrivals;
    private final SplittableRandom random;
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private final List<CallRecord> records = new ArrayList<>();
    private double rateFactor = 1;
    private double abandonFraction;
    private double abandonAfterTargets;
    private double impatientFraction;
    private double impatientRetryFactor;

    DayCallers(DayPlan plan, DayFleet fleet, SplittableRandom random) {
        this.plan = plan;
        this.fleet = fleet;
        this.time = fleet.time();
        this.arrivals = random.split();
        this.random = random;
    }

    /** Lets requests of every kind arrive from every zone. */
    void start() {
        double totalWeight =
                plan.zones().stream().mapToDouble(DayPlan.Zone::callerWeight).sum();
        plan.kinds().forEach(k -> plan.zones().stream()
                .filter(z -> z.callerWeight() > 0 && k.perSecond() > 0)
                .forEach(z -> scheduleArrivals(k, z, k.perSecond() * z.callerWeight() / totalWeight)));
    }

    /** Multiplies the requests that arrive. */
    void multiplyRate(double factor) {
        rateFactor *= factor;
    }

    /** Lets a part of the callers leave after a number of target latencies. */
    void setAbandonment(double fraction, double targets) {
        abandonFraction = fraction;
        abandonAfterTargets = targets;
    }

    /** Lets a part of the callers repeat at once and a number of times as often. */
    void setImpatience(double fraction, double retryFactor) {
        impatientFraction = fraction;
        impatientRetryFactor = retryFactor;
    }

    /** Returns how the requests ended whose callers waited. */
    List<RequestOutcome> outcomes() {
        return outcomes;
    }

    /** Returns what the callers recorded of every sending. */
    List<CallRecord> records() {
        return records;
    }

    /** Every policy gets the same arrivals: they have a source of randomness for themselves. */
    private void scheduleArrivals(RequestKind kind, DayPlan.Zone zone, double perSecond) {
        double meanGapMicros = MICROS_PER_SECOND * zone.batchSize() / (perSecond * rateFactor);
        time.after((long) (-Math.log(1 - arrivals.nextDouble()) * meanGapMicros), () -> {
            if (time.nowMicros() < plan.seconds() * MICROS_PER_SECOND) {
                IntStream.range(0, zone.batchSize()).forEach(i -> startCall(kind, zone.name()));
                scheduleArrivals(kind, zone, perSecond);
            }
        });
    }

    private void startCall(RequestKind kind, String zone) {
        boolean isAbandoning = random.nextDouble() < abandonFraction;
        boolean isImpatient = random.nextDouble() < impatientFraction;
        ClientCall c = new ClientCall(kind, zone, isImpatient, time.nowMicros());
        time.after(kind.deadlineMillis() * MICROS_PER_MILLI, () -> onDeadline(c));
        if (isAbandoning) {
            long abandonMicros = (long) (abandonAfterTargets * kind.route().targetLatencyMillis() * MICROS_PER_MILLI);
            time.after(abandonMicros, () -> abandon(c));
        }
        send(c);
    }

    private void send(ClientCall c) {
        long leftMillis = (c.deadlineMicros() - time.nowMicros()) / MICROS_PER_MILLI;
        Optional<DayHost> host = selectHost(c);
        if (c.isCompleted || leftMillis <= 0) {
            return;
        }
        c.sendCount++;
        if (host.isEmpty()) {
            scheduleRetry(c, 0);
            return;
        }
        time.after(NETWORK_DELAY_MICROS, () -> arriveAtHost(c, host.get(), leftMillis));
    }

    private void arriveAtHost(ClientCall c, DayHost host, long leftMillis) {
        if (c.isCompleted) {
            return;
        }
        if (host.isDead()) {
            c.failedHosts.add(host.host().name());
            time.after(NETWORK_DELAY_MICROS, () -> scheduleRetry(c, 0));
            return;
        }
        String id = fleet.nextRequestId(c.kind);
        Route route = c.kind.route();
        long now = time.nowMicros();
        CallRequest request = host.router().createCall(route, fleet.latestRequest(), id, leftMillis, true, id, now);
        c.sent = request;
        c.host = host;
        host.host().call(request, a -> time.after(NETWORK_DELAY_MICROS, () -> onAnswer(c, request, a)));
    }

    private void onAnswer(ClientCall c, CallRequest request, ModelEntryHost.Answer a) {
        if (c.isCompleted || c.sent != request) {
            return;
        }
        Answer answer = a.recorded();
        record(c, request, answer);
        switch (answer) {
            case COMPLETED -> complete(c, true);
            case NOT_RUN -> scheduleRetry(c, a.retryAfterMillis() * MICROS_PER_MILLI);
            default -> retryIfIdempotent(c);
        }
    }

    private void retryIfIdempotent(ClientCall c) {
        if (c.kind.route().idempotent()) {
            scheduleRetry(c, 0);
        } else {
            complete(c, false);
        }
    }

    private void scheduleRetry(ClientCall c, long retryAfterMicros) {
        double maxRetries = c.kind.maxRetries() * (c.isImpatient ? impatientRetryFactor : 1);
        if (c.sendCount > maxRetries) {
            complete(c, false);
            return;
        }
        long leftMicros = c.deadlineMicros() - time.nowMicros();
        long waitMicros = c.isImpatient ? 0 : Math.min(retryAfterMicros, (long) (leftMicros * MAX_WAIT_FRACTION));
        time.after(waitMicros + RETRY_DELAY_MICROS + random.nextLong(RETRY_DELAY_MICROS), () -> send(c));
    }

    private void onDeadline(ClientCall c) {
        if (!c.isCompleted) {
            cancelInFlight(c);
            complete(c, false);
        }
    }

    /** A caller that leaves early isn't counted: nobody waits for the answer any more. */
    private void abandon(ClientCall c) {
        if (!c.isCompleted) {
            cancelInFlight(c);
            c.isCompleted = true;
        }
    }

    private void cancelInFlight(ClientCall c) {
        CallRequest request = c.sent;
        if (request != null) {
            record(c, request, Answer.BROKEN);
            DayHost host = c.host;
            time.after(NETWORK_DELAY_MICROS, () -> host.host()
                    .handle(new CallEvent.CallerGone(time.nowMicros(), request.callId())));
        }
    }

    private void complete(ClientCall c, boolean isAnswered) {
        c.isCompleted = true;
        outcomes.add(new RequestOutcome(c.kind, c.startMicros, time.nowMicros() - c.startMicros, isAnswered));
    }

    private void record(ClientCall c, CallRequest request, Answer answer) {
        long elapsed = time.nowMicros() - c.startMicros;
        records.add(
                new CallRecord(request.requestId(), request.service(), request.idempotent(), List.of(answer), elapsed));
    }

    /** Picks a live host as the directory names them: of the caller's zone while there is one. */
    private Optional<DayHost> selectHost(ClientCall c) {
        List<DayHost> untried = fleet.hosts().stream()
                .filter(h -> !c.failedHosts.contains(h.host().name()))
                .toList();
        List<DayHost> sameZone =
                untried.stream().filter(h -> h.zone().equals(c.zone)).toList();
        List<DayHost> candidates = sameZone.isEmpty() ? untried : sameZone;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }
}
