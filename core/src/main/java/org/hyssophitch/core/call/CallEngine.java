package org.hyssophitch.core.call;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.atmostonce.TicketDecision;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.routing.LoadPlacement;
import org.hyssophitch.core.routing.ServerState;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;

/**
 * State machine that takes calls from arrival to final answer, mapping {@link CallEvent}s to {@link CallAction}s.
 *
 * <p>Not thread-safe; one thread owns an engine for the lifetime of the process. The engine does no I/O, reads no
 * clock and uses no randomness but the given source, so that a run with the same seed and events is reproducible.
 */
public final class CallEngine {

    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineState state;
    private final CallFinisher finisher;
    private final ServiceDefinitions definitions;
    private final AttemptStarter starter;
    private final AttemptObserver observer;
    private final StatementObserver statements;
    private final QuotaGate quotaGate;

    /**
     * Creates an engine without a configuration.
     *
     * @param settings settings of this entry host
     * @param random seeded source of randomness
     * @param recorder sink for timeline events
     */
    public CallEngine(EngineSettings settings, RandomGenerator random, EventRecorder recorder) {
        state = new EngineState(settings, random, recorder);
        finisher = new CallFinisher(state);
        definitions = new ServiceDefinitions(state, finisher);
        starter = new AttemptStarter(state, finisher);
        observer = new AttemptObserver(state, finisher, starter);
        statements = new StatementObserver(state);
        quotaGate = new QuotaGate(state, finisher, this::admit);
    }

    /**
     * Handles one event.
     *
     * @return the actions to carry out, in order
     */
    public List<CallAction> handle(CallEvent event) {
        switch (event) {
            case CallEvent.CallArrived e -> onArrival(e.request(), e.nowMicros());
            case CallEvent.AnswerStarted e -> observer.onAnswerStarted(e);
            case CallEvent.ServerAnswered e -> onServerAnswered(e);
            case CallEvent.AnswerRejected e -> observer.onAnswerRejected(e);
            case CallEvent.EmbeddedHeadFound e -> observer.onEmbeddedHead(e);
            case CallEvent.LimitNewsReceived e -> onLimitNews(e);
            case CallEvent.HostsChanged e -> onHostsChanged(e);
            case CallEvent.QuotaHostsChanged e -> quotaGate.onHosts(e);
            case CallEvent.QuotaAsked e -> quotaGate.onAsked(e);
            case CallEvent.QuotaGranted e -> quotaGate.onGranted(e);
            case CallEvent.AttemptEnded e -> observer.onAttemptEnded(e);
            case CallEvent.CallerGone e -> onCallerGone(e.callId(), e.nowMicros());
            case CallEvent.ConfigurationAccepted e -> onConfiguration(e);
            case CallEvent.LoadReportsReceived e -> onReports(e.reports(), e.nowMicros());
            case CallEvent.LoadProbeCompleted e -> onLoadProbeCompleted(e);
            case CallEvent.ServersRegistered e -> onRegistered(e.servers(), e.nowMicros());
            case CallEvent.FleetChanged e -> onFleetChanged(e.hostsByZone(), e.nowMicros());
            case CallEvent.ForwardingHostsChanged e -> onForwardingHosts(e.hosts(), e.nowMicros());
            case CallEvent.FleetLimitsChanged e -> definitions.applyLimits(e.limits(), e.nowMicros());
            case CallEvent.ZonesEvacuated e -> onZonesEvacuated(e.zones(), e.nowMicros());
            case CallEvent.ColdBoundChanged e -> definitions.coldServers().setBound(e.bound(), e.nowMicros());
            case CallEvent.LeavingChanged e -> onLeavingChanged(e.servers(), e.source(), e.nowMicros());
            case CallEvent.SuspicionsReceived e -> onSuspicions(e.suspicions(), e.nowMicros());
            case CallEvent.ClearancesReceived e -> state.crashDetector().onCleared(e.clearances(), e.nowMicros());
            case CallEvent.TicketIssuersChanged e -> state.setIssuers(e.issuers());
            case CallEvent.HostEnding e -> onHostEnding(e.nowMicros());
            case CallEvent.TimePassed e -> onTime(e.nowMicros());
        }
        return state.takeActions();
    }

    /** Issues a ticket for one non-idempotent request. */
    public Ticket issueTicket() {
        return state.tickets().issue();
    }

    /** Returns the time in microseconds at which the next timer is due, or {@link Long#MAX_VALUE}. */
    public long nextTimerMicros() {
        EngineState.Timer next = state.timers().peek();
        long quotaTimer = state.quotas().nextMicros();
        return next == null ? quotaTimer : Math.min(quotaTimer, next.atMicros());
    }

    /** Returns the number of teams whose quota this host owns. */
    public int ownedQuotas() {
        return state.quotas().owned();
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return state.configuration();
    }

    /** Returns the number of calls that have no final answer yet. */
    public int activeCalls() {
        return state.calls().size();
    }

    /** Returns whether an attempt of a call is in flight. */
    public boolean isAtServer(long callId) {
        ActiveCall call = state.calls().get(callId);
        return call != null && !call.attempts().isEmpty();
    }

    /** Returns whether a request that waits for a connection may be sent; only a removed API key forbids it. */
    public boolean maySend(long callId) {
        ActiveCall call = state.calls().get(callId);
        return call == null || !call.isKeyRemoved();
    }

    /** Returns the number of backend servers that have a limit because they are cold. */
    public int coldServers(long nowMicros) {
        return state.conditions().cold(nowMicros).size();
    }

    /** Returns the state of every known backend server, for reports and tests. */
    public Map<String, ServerState> servers() {
        return Map.copyOf(state.servers());
    }

    private void onArrival(CallRequest request, long nowMicros) {
        statements.onTime(nowMicros);
        definitions.coldServers().onTime(nowMicros);
        ServiceState service = state.services().get(request.service());
        if (service == null) {
            boolean isEmpty = state.configuration().version() == 0;
            refuse(request, isEmpty ? Reason.NO_CONFIGURATION : Reason.UNKNOWN_SERVICE, "");
            return;
        }
        if (!state.callerCheck().allows(request.caller())) {
            refuse(request, Reason.UNKNOWN_KEY, "");
            return;
        }
        ActiveCall call = new ActiveCall(withDeadline(request, service.service(), nowMicros), service, nowMicros);
        state.record(
                nowMicros,
                call,
                new EventBody.CallArrived(
                        request.service(), request.idempotent(), call.request().deadlineMicros(), request.depth()));
        if (starter.verdict(call, nowMicros) == Verdict.CONVICTED) {
            refuse(request, Reason.REQUEST_CONVICTED, "");
        } else if (request.ticket().isEmpty() || admitTicket(request)) {
            quotaGate.onArrival(call, nowMicros);
        }
    }

    private void admit(ActiveCall call, long nowMicros) {
        state.calls().put(call.callId(), call);
        if (!call.request().isForwarded()) {
            // The host that got the call from its caller has credited it.
            call.service().deposit(nowMicros);
        }
        long deadline = call.request().deadlineMicros();
        state.timers().add(new EngineState.Timer(deadline, call.callId(), 0, EngineState.TimerKind.DEADLINE));
        starter.startOrQueue(call, AttemptStarter.Cause.FIRST, nowMicros);
    }

    private boolean admitTicket(CallRequest request) {
        if (!state.isOn(EngineFeature.TICKETS)) {
            return true;
        }
        TicketDecision decision = state.tickets().admit(request.ticket().orElseThrow(), state.issuers());
        switch (decision) {
            case TicketDecision.Run d -> {
                return true;
            }
            case TicketDecision.IssuedElsewhere d -> refuse(request, Reason.TICKET_ISSUED_ELSEWHERE, d.host());
            case TicketDecision.IssuerGone d -> refuse(request, Reason.TICKET_ISSUER_GONE, "");
            case TicketDecision.NeverIssued d -> refuse(request, Reason.TICKET_NEVER_ISSUED, "");
            case TicketDecision.Expired d -> refuse(request, Reason.TICKET_EXPIRED, "");
            case TicketDecision.Running d -> refuse(request, Reason.TICKET_RUNNING, "");
            case TicketDecision.AlreadyRun d -> refuse(request, Reason.ALREADY_RUN, Integer.toString(d.status()));
            case TicketDecision.MayHaveRun d -> refuse(request, Reason.TICKET_MAY_HAVE_RUN, "");
        }
        return false;
    }

    private void refuse(CallRequest request, Reason reason, String detail) {
        long retryAfter = CallFinisher.retryAfterMillis(state.services().get(request.service()), reason);
        state.emit(new CallAction.AnswerCaller(request.callId(), reason, retryAfter, detail));
    }

    private static CallRequest withDeadline(CallRequest request, Service service, long nowMicros) {
        return request.deadlineMicros() == CallRequest.NO_DEADLINE
                ? request.withDeadlineMicros(nowMicros + service.queue().defaultDeadlineMillis() * MICROS_PER_MILLI)
                : request;
    }

    /** Ends the call. A ticketed request that was sent continues instead, so that a repetition learns its result. */
    private void onCallerGone(long callId, long nowMicros) {
        ActiveCall call = state.calls().get(callId);
        if (call == null) {
            return;
        }
        call.setCallerGone();
        boolean isSent = call.attemptsStarted() > 0;
        if (!isSent) {
            finisher.answer(call, Reason.CALLER_GONE_WAITING, nowMicros);
        } else if (call.request().ticket().isEmpty()) {
            finisher.answer(call, Reason.CALLER_GONE, nowMicros);
            starter.startQueued(call.service(), nowMicros);
        }
    }

    private void onConfiguration(CallEvent.ConfigurationAccepted e) {
        if (definitions.accept(e.configuration(), e.nowMicros())) {
            state.callerCheck().accept(e.teams(), finisher, e.nowMicros());
        }
        quotaGate.onConfiguration(e.nowMicros());
        startQueued(e.nowMicros());
    }

    private void onRegistered(Map<String, List<RegisteredServer>> servers, long nowMicros) {
        definitions.register(servers, nowMicros);
        startQueued(nowMicros);
    }

    private void onZonesEvacuated(Set<String> zones, long nowMicros) {
        definitions.evacuate(zones, nowMicros);
        startQueued(nowMicros);
    }

    private void onHostsChanged(CallEvent.HostsChanged e) {
        statements.onHostsChanged(e);
        definitions.coldServers().onHostsChanged(e.nowMicros());
    }

    private void onFleetChanged(Map<String, Integer> hostsByZone, long nowMicros) {
        definitions.applyFleetSize(hostsByZone, nowMicros);
        startQueued(nowMicros);
    }

    private void onServerAnswered(CallEvent.ServerAnswered e) {
        state.cutOffDetector().onAnswered(e.nowMicros());
        if (statements.onAnswer(e)) {
            startQueued(e.nowMicros());
        }
    }

    private void onLimitNews(CallEvent.LimitNewsReceived e) {
        if (statements.onNews(e.news(), e.nowMicros())) {
            startQueued(e.nowMicros());
        }
    }

    private void onForwardingHosts(List<BackendServer> hosts, long nowMicros) {
        state.forwarder().setHosts(hosts);
        startQueued(nowMicros);
    }

    private void onSuspicions(List<Suspicion> received, long nowMicros) {
        state.crashDetector().onReceived(received, nowMicros);
        refuseConvicted(nowMicros);
    }

    /** Refuses the queued calls whose requests have just been convicted. */
    private void refuseConvicted(long nowMicros) {
        state.calls().values().stream()
                .filter(c -> c.attempts().isEmpty() && starter.verdict(c, nowMicros) == Verdict.CONVICTED)
                .toList()
                .forEach(c -> finisher.answer(c, AttemptStarter.notRunReason(c, Reason.REQUEST_CONVICTED), nowMicros));
    }

    private void onLoadProbeCompleted(CallEvent.LoadProbeCompleted e) {
        state.cutOffDetector().onProbeCompleted(e.server(), e.outcome(), e.nowMicros());
        if (state.crashDetector().onProbeCompleted(e.server(), e.outcome(), e.nowMicros())) {
            refuseConvicted(e.nowMicros());
        }
        ServerState server = state.servers().get(e.server());
        if (server != null) {
            server.onLoadProbeCompleted(e.outcome() == CallEvent.ProbeOutcome.ACCEPTING, e.nowMicros());
            e.report().ifPresent(server::onReport);
            if (e.outcome() == CallEvent.ProbeOutcome.WRONG_INSTANCE) {
                server.setMisdirected();
                definitions.recordLeaving(server, false, "other-instance", e.nowMicros());
            }
        }
        starter.slowdownDetector().onProbeCompleted(e.server(), e.report(), e.nowMicros());
        state.services().values().stream()
                .filter(s -> s.probeRound().isAwaiting(e.server()))
                .forEach(s -> onProbed(s, e));
    }

    private void onProbed(ServiceState service, CallEvent.LoadProbeCompleted e) {
        if (e.outcome() == CallEvent.ProbeOutcome.ACCEPTING) {
            service.probeRound().onProbeAnswered(e.report().isPresent());
            recordOthersUtilization(service, e);
        }
        starter.dispatcher().onProbeCompleted(service, e.server(), e.nowMicros());
    }

    private void recordOthersUtilization(ServiceState service, CallEvent.LoadProbeCompleted e) {
        ServerState server = state.servers().get(e.server());
        if (server != null && e.report().isPresent()) {
            service.addOthersUtilization((double) server.othersAtReport() / LoadPlacement.knee(server));
        }
    }

    private void startQueued(long nowMicros) {
        state.services().values().forEach(s -> starter.startQueued(s, nowMicros));
    }

    private void onReports(List<LoadReport> reports, long nowMicros) {
        reports.forEach(r -> {
            ServerState server = state.servers().get(r.server());
            if (server != null) {
                boolean wasLeaving = server.isLeaving();
                server.onReport(state.isOn(EngineFeature.DRAIN) ? r : r.withDraining(false));
                definitions.recordLeaving(server, wasLeaving, "report", nowMicros);
            }
        });
    }

    private void onLeavingChanged(Set<String> leaving, String source, long nowMicros) {
        state.servers().values().forEach(s -> {
            boolean wasLeaving = s.isLeaving();
            s.setLeaving(state.isOn(EngineFeature.DRAIN) && leaving.contains(s.name()));
            definitions.recordLeaving(s, wasLeaving, source, nowMicros);
        });
        startQueued(nowMicros);
    }

    private void onHostEnding(long nowMicros) {
        List.copyOf(state.calls().values()).stream()
                .filter(c -> !c.isRelaying())
                .forEach(c ->
                        finisher.answer(c, c.isUnsent() ? c.request().stopRefusal() : Reason.HOST_STOPPED, nowMicros));
    }

    private void onTime(long nowMicros) {
        while (!state.timers().isEmpty() && state.timers().peek().atMicros() <= nowMicros) {
            fire(state.timers().poll(), nowMicros);
        }
        quotaGate.onTime(nowMicros);
        state.cutOffDetector().update(nowMicros);
        definitions.coldServers().onTime(nowMicros);
        if (state.crashDetector().update(nowMicros)) {
            refuseConvicted(nowMicros);
        }
        startQueued(nowMicros);
    }

    private void fire(EngineState.Timer timer, long nowMicros) {
        ActiveCall call = state.calls().get(timer.callId());
        if (call == null || call.isRelaying()) {
            return;
        }
        switch (timer.kind()) {
            case CHECK -> starter.slowdownDetector().probe(call, timer.attempt(), nowMicros);
            case HEDGE -> starter.hedge(call, timer.attempt(), nowMicros);
            case DEADLINE -> onDeadline(call, nowMicros);
            case ROUND -> {
                // onTime dispatches queued calls after all timers have fired.
            }
            default -> throw new UnknownCaseException(timer.kind());
        }
    }

    private void onDeadline(ActiveCall call, long nowMicros) {
        Reason reason = call.isUnsent() ? Reason.DEADLINE_PASSED_WAITING : Reason.DEADLINE_PASSED;
        finisher.answer(call, reason, nowMicros);
        starter.startQueued(call.service(), nowMicros);
    }
}
