package org.hyssophitch.bench.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.AttemptResult;
import org.hyssophitch.core.call.AttemptResult.LostCause;
import org.hyssophitch.core.call.AttemptResult.NotRunCause;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallEvent.AnswerSource;
import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.call.CallRequest;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.standin.CallRecord;

/**
 * Model of one entry host: a real call engine with simulated network delays and connections to model servers. Not
 * thread-safe; owned by one run.
 */
public final class ModelEntryHost {

    /**
     * Answer to a caller, which ends its call. Immutable.
     *
     * @param reason reason why the call ended
     * @param isBroken whether the connection broke instead of returning an answer
     * @param isServerError whether the answer is an error of a backend server
     * @param retryAfterMillis delay in milliseconds before the caller may retry
     * @param detail name of the entry host to use for a ticket that another host issued
     */
    public record Answer(Reason reason, boolean isBroken, boolean isServerError, long retryAfterMillis, String detail) {

        /** Returns the outcome that the caller records for this attempt. */
        public CallRecord.AttemptOutcome toAttemptOutcome() {
            if (isBroken) {
                return CallRecord.AttemptOutcome.BROKEN;
            }
            return switch (reason.outcome()) {
                case COMPLETED -> completed();
                case NOT_RUN -> CallRecord.AttemptOutcome.NOT_RUN;
                case UNKNOWN -> CallRecord.AttemptOutcome.UNKNOWN;
            };
        }

        private CallRecord.AttemptOutcome completed() {
            if (isServerError) {
                return CallRecord.AttemptOutcome.SERVER_ERROR;
            }
            return reason == Reason.ANSWERED
                    ? CallRecord.AttemptOutcome.COMPLETED
                    : CallRecord.AttemptOutcome.ALREADY_RUN;
        }
    }

    private static final long SAME_ZONE_DELAY_MICROS = 50;
    private static final long OTHER_ZONE_DELAY_MICROS = 500;
    private static final long CONNECT_DELAY_MICROS = 1_000;
    private static final long TICK_MICROS = 1_000;
    /** Longest idle time of a connection that is reused for a non-idempotent request. */
    private static final long MAX_IDLE_NON_IDEMPOTENT_MICROS = 500_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private record Connection(int epoch, long lastUsedMicros, boolean isSilent) {}

    private record RunningAttempt(ModelServer server, ModelServer.Job job, long sentMicros, boolean isError) {
        RunningAttempt withError() {
            return new RunningAttempt(server, job, sentMicros, true);
        }
    }

    private final String name;
    private final String zone;
    private final VirtualTime time;
    private final Map<String, ModelServer> servers;
    private final CallEngine engine;
    private final Map<Long, Consumer<Answer>> callers = new HashMap<>();
    private final Map<Long, CallRequest> requests = new HashMap<>();
    private final Map<Long, Map<Integer, RunningAttempt>> running = new HashMap<>();
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final FleetNews fleetNews;
    private boolean isDead;
    private boolean isTickScheduled;
    private long loadProbes;

    /**
     * Creates a host whose engine has no configuration yet.
     *
     * @param settings settings of the call engine
     * @param time clock and scheduler of the run
     * @param servers model servers by name; the caller may add more later
     * @param random random number generator of the engine
     * @param recorder receives the decisions of the engine
     * @param fleetNews receives what the host shares with other hosts
     */
    public ModelEntryHost(
            EngineSettings settings,
            VirtualTime time,
            Map<String, ModelServer> servers,
            SplittableRandom random,
            EventRecorder recorder,
            FleetNews fleetNews) {
        this.name = settings.host();
        this.zone = settings.zone();
        this.time = time;
        this.servers = servers;
        this.engine = new CallEngine(settings, random, recorder);
        this.fleetNews = fleetNews;
    }

    public String name() {
        return name;
    }

    public String zone() {
        return zone;
    }

    public CallEngine engine() {
        return engine;
    }

    /** Returns the number of load probes that this host has sent. */
    public long loadProbes() {
        return loadProbes;
    }

    public boolean isDead() {
        return isDead;
    }

    /** Kills the host: the connections of its callers break and its attempts are cancelled. */
    public void kill() {
        isDead = true;
        running.values().forEach(m -> m.values().forEach(r -> r.server().cancel(r.job())));
        List<Consumer<Answer>> broken = List.copyOf(callers.values());
        callers.clear();
        broken.forEach(c -> c.accept(new Answer(Reason.CONNECTION_LOST, true, false, 0, "")));
    }

    /** Makes every idle connection to a server silent: requests sent on it get no response and no error. */
    public void silenceIdleConnections(String server) {
        Deque<Connection> connections = idle.getOrDefault(server, new ArrayDeque<>());
        List<Connection> silent = connections.stream()
                .map(c -> new Connection(c.epoch(), c.lastUsedMicros(), true))
                .toList();
        connections.clear();
        connections.addAll(silent);
    }

    public Ticket issueTicket() {
        return engine.issueTicket();
    }

    /** Handles a request; the caller is notified when its answer is known. */
    public void call(CallRequest request, Consumer<Answer> caller) {
        callers.put(request.callId(), caller);
        requests.put(request.callId(), request);
        handle(new CallEvent.CallArrived(time.nowMicros(), request));
    }

    /** Passes an event to the engine and executes its actions, unless the host is dead. */
    public void handle(CallEvent event) {
        if (isDead) {
            return;
        }
        engine.handle(event).forEach(this::execute);
        scheduleTick();
    }

    private void scheduleTick() {
        if (!isTickScheduled && engine.activeCalls() > 0) {
            isTickScheduled = true;
            time.after(TICK_MICROS, () -> {
                isTickScheduled = false;
                handle(new CallEvent.TimePassed(time.nowMicros()));
            });
        }
    }

    private void execute(CallAction action) {
        switch (action) {
            case CallAction.StartAttempt a -> start(a);
            case CallAction.CancelAttempt a -> cancel(a.callId(), a.attempt());
            case CallAction.RelayAnswer a -> relay(a.callId(), a.attempt());
            case CallAction.AnswerCaller a ->
                answer(a.callId(), new Answer(a.reason(), false, false, a.retryAfterMillis(), a.detail()));
            case CallAction.AbortAnswer a -> answer(a.callId(), new Answer(a.reason(), true, false, 0, ""));
            case CallAction.ProbeLoad a -> a.servers().forEach(s -> probeLoad(servers.get(s.name())));
            case CallAction.ShareSuspicions a -> fleetNews.shareSuspicions(a.suspicions());
            case CallAction.ShareClearance a -> fleetNews.shareClearance(a.clearance());
            case CallAction.ShareCutOff a -> fleetNews.shareCutOff(a.isCutOff());
            case CallAction.ShareLimit a -> fleetNews.shareLimit(a.news(), a.isUrgent());
            case CallAction.AskQuota a -> fleetNews.askQuota(a.host(), a.ask());
            case CallAction.AnswerQuota a -> fleetNews.answerQuota(a.host(), a.grant());
        }
    }

    private void probeLoad(ModelServer server) {
        loadProbes++;
        time.after(delay(server), () -> {
            boolean isDown = server.isDown();
            LoadReport report = server.report();
            ProbeOutcome outcome = isDown ? ProbeOutcome.FAILED : probeOutcome(report);
            time.after(
                    delay(server),
                    () -> handle(new CallEvent.LoadProbeCompleted(
                            time.nowMicros(), server.name(), Optional.of(report).filter(r -> !isDown), outcome)));
        });
    }

    private static ProbeOutcome probeOutcome(LoadReport report) {
        return report.draining() ? ProbeOutcome.REFUSING : ProbeOutcome.ACCEPTING;
    }

    private void start(CallAction.StartAttempt a) {
        ModelServer server = servers.get(a.server().name());
        CallRequest request = requests.get(a.callId());
        Connection connection = takeConnection(server, request.idempotent());
        if (connection == null && server.isDown()) {
            time.after(delay(server), () -> end(a, new AttemptResult.NotRun(NotRunCause.CONNECT_FAILED)));
            return;
        }
        boolean isCrashing = request.fingerprint().startsWith("poison");
        ModelServer.Job job = new ModelServer.Job(
                request.requestId(), isCrashing, reply -> time.after(delay(server), () -> onReply(a, server, reply)));
        running.computeIfAbsent(a.callId(), c -> new HashMap<>())
                .put(a.attempt(), new RunningAttempt(server, job, time.nowMicros(), false));
        if (connection != null && connection.isSilent()) {
            long stall = a.stallMillis() * MICROS_PER_MILLI;
            time.after(stall, () -> endIfRunning(a, new AttemptResult.Lost(LostCause.STALLED)));
            return;
        }
        long connectMicros = connection == null ? CONNECT_DELAY_MICROS : 0;
        time.after(connectMicros + delay(server), () -> server.receive(job));
    }

    /** Takes a usable idle connection by the rules of the proxy's pool; null if a new one has to be opened. */
    private Connection takeConnection(ModelServer server, boolean isIdempotent) {
        Deque<Connection> connections = idle.getOrDefault(server.name(), new ArrayDeque<>());
        connections.removeIf(c -> c.epoch() != server.epoch());
        long oldestUseMicros = isIdempotent ? Long.MIN_VALUE : time.nowMicros() - MAX_IDLE_NON_IDEMPOTENT_MICROS;
        if (!isIdempotent) {
            connections.removeIf(c -> c.lastUsedMicros() < oldestUseMicros);
        }
        return connections.pollLast();
    }

    private void onReply(CallAction.StartAttempt a, ModelServer server, ModelServer.Reply reply) {
        Map<Integer, RunningAttempt> attempts = running.getOrDefault(a.callId(), Map.of());
        if (!attempts.containsKey(a.attempt())) {
            return;
        }
        if (reply != ModelServer.Reply.LOST) {
            idle.computeIfAbsent(server.name(), s -> new ArrayDeque<>())
                    .addLast(new Connection(server.epoch(), time.nowMicros(), false));
            handle(new CallEvent.LoadReportsReceived(time.nowMicros(), List.of(server.report())));
        }
        reportStatements(a, server, reply);
        switch (reply) {
            case ANSWERED -> handle(new CallEvent.AnswerStarted(time.nowMicros(), a.callId(), a.attempt(), OK));
            case ERROR -> {
                attempts.computeIfPresent(a.attempt(), (n, r) -> r.withError());
                handle(new CallEvent.AnswerStarted(time.nowMicros(), a.callId(), a.attempt(), SERVER_ERROR));
            }
            case SHED -> endIfRunning(a, new AttemptResult.NotRun(NotRunCause.SHED));
            case DRAINING -> endIfRunning(a, new AttemptResult.NotRun(NotRunCause.DRAINING));
            case LOST -> endIfRunning(a, new AttemptResult.Lost(LostCause.CONNECTION_LOST));
            default -> throw new UnknownCaseException(reply);
        }
    }

    private void reportStatements(CallAction.StartAttempt a, ModelServer server, ModelServer.Reply reply) {
        if (reply != ModelServer.Reply.LOST) {
            AnswerSource source = reply == ModelServer.Reply.ANSWERED ? AnswerSource.SUCCESS : AnswerSource.ERROR;
            long sent = running.get(a.callId()).get(a.attempt()).sentMicros();
            handle(new CallEvent.ServerAnswered(time.nowMicros(), sent, server.name(), source, server.statements()));
        }
    }

    private void endIfRunning(CallAction.StartAttempt a, AttemptResult result) {
        Map<Integer, RunningAttempt> attempts = running.getOrDefault(a.callId(), new HashMap<>());
        if (attempts.remove(a.attempt()) != null) {
            end(a, result);
        }
    }

    private void end(CallAction.StartAttempt a, AttemptResult result) {
        handle(new CallEvent.AttemptEnded(time.nowMicros(), a.callId(), a.attempt(), result));
    }

    private void relay(long callId, int attempt) {
        Map<Integer, RunningAttempt> attempts = running.getOrDefault(callId, new HashMap<>());
        RunningAttempt relayed = attempts.remove(attempt);
        boolean isServerError = relayed != null && relayed.isError();
        answer(callId, new Answer(Reason.ANSWERED, false, isServerError, 0, ""));
        time.after(
                0,
                () -> handle(
                        new CallEvent.AttemptEnded(time.nowMicros(), callId, attempt, new AttemptResult.Completed())));
    }

    private void cancel(long callId, int attempt) {
        Map<Integer, RunningAttempt> attempts = running.getOrDefault(callId, new HashMap<>());
        RunningAttempt r = attempts.remove(attempt);
        if (r != null) {
            time.after(delay(r.server()), () -> r.server().cancel(r.job()));
        }
    }

    private void answer(long callId, Answer answer) {
        running.remove(callId);
        requests.remove(callId);
        Consumer<Answer> caller = callers.remove(callId);
        if (caller != null) {
            caller.accept(answer);
        }
    }

    private long delay(ModelServer server) {
        return server.zone().equals(zone) ? SAME_ZONE_DELAY_MICROS : OTHER_ZONE_DELAY_MICROS;
    }
}
