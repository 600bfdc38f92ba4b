package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallPolicy;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.standin.CallRecord;
import org.hyssophitch.standin.CallRecord.AttemptOutcome;
import org.hyssophitch.standin.Deployment;

/**
 * Model of the callers: requests arrive at random times, go to a random entry host, and are retried as far as the
 * outcome of an attempt permits. Not thread-safe; owned by one run.
 */
public final class ModelCallers {

    private static final long CLIENT_DELAY_MICROS = 1_000;
    private static final long RECONNECT_DELAY_MICROS = 20_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_ATTEMPTS = 6;

    private final ModelRun run;
    private final SplittableRandom random;
    private final long endMicros;

    /** Request of a caller, with the outcomes of its attempts so far. Not thread-safe. */
    private static final class Request {
        private final String id;
        private final Deployment.ServiceSpec service;
        private final Optional<Ticket> ticket;
        private final String fingerprint;
        private final long startedMicros;
        private final List<AttemptOutcome> outcomes = new ArrayList<>();

        private Request(
                String id,
                Deployment.ServiceSpec service,
                Optional<Ticket> ticket,
                String fingerprint,
                long startedMicros) {
            this.id = id;
            this.service = service;
            this.ticket = ticket;
            this.fingerprint = fingerprint;
            this.startedMicros = startedMicros;
        }
    }

    /**
     * Creates the callers of a run.
     *
     * @param run run that the callers belong to
     * @param endMicros virtual time in microseconds after which no request starts
     */
    public ModelCallers(ModelRun run, long endMicros) {
        this.run = run;
        this.random = run.random().split();
        this.endMicros = endMicros;
    }

    /**
     * Starts request arrivals for every service.
     *
     * @param utilization average utilization of the server slots that the arrival rate aims at; 1 is full capacity
     */
    public void start(double utilization) {
        run.deployment().services().forEach(s -> {
            double capacity = s.servers() * Deployment.SLOTS_PER_SERVER * MICROS_PER_SECOND / run.meanServiceMicros(s);
            scheduleNextArrival(s, capacity * utilization);
        });
    }

    /** Sends one request that crashes every server that runs it. */
    public void sendCrashingRequest(Deployment.ServiceSpec service, String content) {
        startRequest(service, Optional.of("poison-" + content));
    }

    private void scheduleNextArrival(Deployment.ServiceSpec service, double perSecond) {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * MICROS_PER_SECOND);
        run.time().after(gap, () -> {
            if (run.time().nowMicros() < endMicros) {
                startRequest(service, Optional.empty());
                scheduleNextArrival(service, perSecond);
            }
        });
    }

    private void startRequest(Deployment.ServiceSpec service, Optional<String> content) {
        ModelEntryHost host = randomLiveHost();
        Optional<Ticket> ticket = service.isNonIdempotent() ? Optional.of(host.issueTicket()) : Optional.empty();
        String id = ticket.map(Ticket::format).orElseGet(() -> "r" + run.nextCallId());
        send(new Request(id, service, ticket, content.orElse(id), run.time().nowMicros()), host);
    }

    private ModelEntryHost randomLiveHost() {
        List<ModelEntryHost> live =
                run.hosts().stream().filter(h -> !h.isDead()).toList();
        return live.get(random.nextInt(live.size()));
    }

    private void send(Request r, ModelEntryHost host) {
        CallRequest call = new CallRequest(
                run.nextCallId(),
                r.id,
                r.service.name(),
                !r.service.isNonIdempotent(),
                r.ticket,
                CallRequest.NO_DEADLINE,
                0,
                true,
                true,
                r.fingerprint,
                callPolicy(r));
        run.time().after(CLIENT_DELAY_MICROS, () -> {
            if (host.isDead()) {
                onAnswer(r, host, AttemptOutcome.BROKEN, RECONNECT_DELAY_MICROS, "");
            } else {
                host.call(call, a -> run.time().after(CLIENT_DELAY_MICROS, () -> onReply(r, host, a)));
            }
        });
    }

    /** Returns the policy that a route would apply: a target latency, if the run uses one. */
    private CallPolicy callPolicy(Request r) {
        if (!run.isTargetLatencyEnabled()) {
            return CallPolicy.NONE;
        }
        long target = run.targetLatencyMicros(r.service);
        return new CallPolicy(0, 0, r.startedMicros + target, target);
    }

    private void onReply(Request r, ModelEntryHost host, ModelEntryHost.Answer a) {
        long retryDelayMicros = Math.max(1, a.retryAfterMillis()) * MICROS_PER_MILLI;
        if (a.isBroken()) {
            onAnswer(r, host, AttemptOutcome.BROKEN, RECONNECT_DELAY_MICROS, "");
            return;
        }
        onAnswer(r, host, a.toAttemptOutcome(), retryDelayMicros, a.detail());
    }

    private void onAnswer(
            Request r, ModelEntryHost host, AttemptOutcome outcome, long retryDelayMicros, String preferredHost) {
        r.outcomes.add(outcome);
        if (isFinal(r, outcome)) {
            long elapsed = run.time().nowMicros() - r.startedMicros;
            run.recordCall(new CallRecord(
                    r.id, r.service.name(), !r.service.isNonIdempotent(), List.copyOf(r.outcomes), elapsed));
            return;
        }
        ModelEntryHost next = run.hosts().stream()
                .filter(h -> h.name().equals(preferredHost) && !h.isDead())
                .findFirst()
                .orElseGet(this::randomLiveHost);
        run.time().after(retryDelayMicros, () -> send(r, next));
    }

    private static boolean isFinal(Request r, AttemptOutcome outcome) {
        if (r.outcomes.size() >= MAX_ATTEMPTS) {
            return true;
        }
        return switch (outcome) {
            case COMPLETED, ALREADY_RUN, WRONG -> true;
            case NOT_RUN, BROKEN, SERVER_ERROR -> false;
            case UNKNOWN -> r.service.isNonIdempotent() && r.outcomes.size() > 1;
        };
    }
}
