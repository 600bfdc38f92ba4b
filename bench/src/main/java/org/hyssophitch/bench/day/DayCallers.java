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
    private static final long CLIENT_MICROS = 1_000;
    /** Shortest pause in microseconds before a request is sent again, and its random part. */
    private static final long PAUSE_MICROS = 20_000;
    /** Part of the time left for which a caller waits when it is told to. */
    private static final double PATIENT_PART = 1.0 / 3;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    /** One request of a caller and its sendings. */
    private static final class Visit {
        private final RequestKind kind;
        private final String zone;
        private final boolean isImpatient;
        private final long startMicros;
        private final Set<String> failedHosts = new HashSet<>();
        private int sendings;
        private boolean isEnded;
        private CallRequest sent;
        private DayHost host;

        private Visit(RequestKind kind, String zone, boolean isImpatient, long startMicros) {
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
    private final List<DayOutcome> outcomes = new ArrayList<>();
    private final List<CallRecord> records = new ArrayList<>();
    private double burst = 1;
    private double leavingPart;
    private double leavingTargets;
    private double impatientPart;
    private double impatientRepeats;

    DayCallers(DayPlan plan, DayFleet fleet, SplittableRandom random) {
        this.plan = plan;
        this.fleet = fleet;
        this.time = fleet.time();
        this.arrivals = random.split();
        this.random = random;
    }

    /** Lets requests of every kind arrive from every zone. */
    void start() {
        double all = plan.zones().stream().mapToDouble(DayPlan.Zone::callers).sum();
        plan.kinds().forEach(k -> plan.zones().stream()
                .filter(z -> z.callers() > 0 && k.perSecond() > 0)
                .forEach(z -> arriveNext(k, z, k.perSecond() * z.callers() / all)));
    }

    /** Multiplies the requests that arrive. */
    void multiply(double factor) {
        burst *= factor;
    }

    /** Lets a part of the callers leave after a number of target latencies. */
    void setLeaving(double part, double targets) {
        leavingPart = part;
        leavingTargets = targets;
    }

    /** Lets a part of the callers repeat at once and a number of times as often. */
    void setImpatient(double part, double repeats) {
        impatientPart = part;
        impatientRepeats = repeats;
    }

    /** Returns how the requests ended whose callers waited. */
    List<DayOutcome> outcomes() {
        return outcomes;
    }

    /** Returns what the callers recorded of every sending. */
    List<CallRecord> records() {
        return records;
    }

    /** Every policy gets the same arrivals: they have a source of randomness for themselves. */
    private void arriveNext(RequestKind kind, DayPlan.Zone zone, double perSecond) {
        double mean = MICROS_PER_SECOND * zone.clump() / (perSecond * burst);
        time.after((long) (-Math.log(1 - arrivals.nextDouble()) * mean), () -> {
            if (time.nowMicros() < plan.seconds() * MICROS_PER_SECOND) {
                IntStream.range(0, zone.clump()).forEach(i -> begin(kind, zone.name()));
                arriveNext(kind, zone, perSecond);
            }
        });
    }

    private void begin(RequestKind kind, String zone) {
        boolean isLeaving = random.nextDouble() < leavingPart;
        boolean isImpatient = random.nextDouble() < impatientPart;
        Visit v = new Visit(kind, zone, isImpatient, time.nowMicros());
        time.after(kind.deadlineMillis() * MICROS_PER_MILLI, () -> giveUp(v));
        if (isLeaving) {
            long after = (long) (leavingTargets * kind.route().targetLatencyMillis() * MICROS_PER_MILLI);
            time.after(after, () -> leave(v));
        }
        send(v);
    }

    private void send(Visit v) {
        long leftMillis = (v.deadlineMicros() - time.nowMicros()) / MICROS_PER_MILLI;
        Optional<DayHost> host = pick(v);
        if (v.isEnded || leftMillis <= 0) {
            return;
        }
        v.sendings++;
        if (host.isEmpty()) {
            again(v, 0);
            return;
        }
        time.after(CLIENT_MICROS, () -> arrive(v, host.get(), leftMillis));
    }

    private void arrive(Visit v, DayHost host, long leftMillis) {
        if (v.isEnded) {
            return;
        }
        if (host.isDead()) {
            v.failedHosts.add(host.host().name());
            time.after(CLIENT_MICROS, () -> again(v, 0));
            return;
        }
        String id = fleet.nextRequestId(v.kind);
        Route route = v.kind.route();
        long now = time.nowMicros();
        CallRequest request = host.router().createCall(route, fleet.latestRequest(), id, leftMillis, true, id, now);
        v.sent = request;
        v.host = host;
        host.host().call(request, a -> time.after(CLIENT_MICROS, () -> onAnswer(v, request, a)));
    }

    private void onAnswer(Visit v, CallRequest request, ModelEntryHost.Answer a) {
        if (v.isEnded || v.sent != request) {
            return;
        }
        Answer answer = a.toAttemptOutcome();
        record(v, request, answer);
        switch (answer) {
            case COMPLETED -> end(v, true);
            case NOT_RUN -> again(v, a.retryAfterMillis() * MICROS_PER_MILLI);
            default -> repeatIfSafe(v);
        }
    }

    private void repeatIfSafe(Visit v) {
        if (v.kind.route().idempotent()) {
            again(v, 0);
        } else {
            end(v, false);
        }
    }

    private void again(Visit v, long toldMicros) {
        double repeats = v.kind.repeats() * (v.isImpatient ? impatientRepeats : 1);
        if (v.sendings > repeats) {
            end(v, false);
            return;
        }
        long left = v.deadlineMicros() - time.nowMicros();
        long kept = v.isImpatient ? 0 : Math.min(toldMicros, (long) (left * PATIENT_PART));
        time.after(kept + PAUSE_MICROS + random.nextLong(PAUSE_MICROS), () -> send(v));
    }

    private void giveUp(Visit v) {
        if (!v.isEnded) {
            hangUp(v);
            end(v, false);
        }
    }

    /** A caller that leaves early isn't counted: nobody waits for the answer any more. */
    private void leave(Visit v) {
        if (!v.isEnded) {
            hangUp(v);
            v.isEnded = true;
        }
    }

    private void hangUp(Visit v) {
        CallRequest request = v.sent;
        if (request != null) {
            record(v, request, Answer.BROKEN);
            DayHost host = v.host;
            time.after(CLIENT_MICROS, () -> host.host()
                    .handle(new CallEvent.CallerGone(time.nowMicros(), request.callId())));
        }
    }

    private void end(Visit v, boolean isAnswered) {
        v.isEnded = true;
        outcomes.add(new DayOutcome(v.kind, v.startMicros, time.nowMicros() - v.startMicros, isAnswered));
    }

    private void record(Visit v, CallRequest request, Answer answer) {
        long elapsed = time.nowMicros() - v.startMicros;
        records.add(
                new CallRecord(request.requestId(), request.service(), request.idempotent(), List.of(answer), elapsed));
    }

    /** Picks a live host as the directory names them: of the caller's zone while there is one. */
    private Optional<DayHost> pick(Visit v) {
        List<DayHost> usable = fleet.hosts().stream()
                .filter(h -> !v.failedHosts.contains(h.host().name()))
                .toList();
        List<DayHost> near =
                usable.stream().filter(h -> h.zone().equals(v.zone)).toList();
        List<DayHost> chosen = near.isEmpty() ? usable : near;
        return chosen.isEmpty() ? Optional.empty() : Optional.of(chosen.get(random.nextInt(chosen.size())));
    }
}
