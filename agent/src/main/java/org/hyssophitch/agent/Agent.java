package org.hyssophitch.agent;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.control.AgentEngine;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.core.control.ListedHost;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.wire.codec.AgentMessageCodec;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.generated.Wire;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.DatagramEndpoint;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.report.MetricsText;
import org.hyssophitch.wire.report.TimelineJson;
import org.tinylog.Logger;

/**
 * The agent of one entry host: joins the engine with its transports. Thread-safe; runs from {@link #start} until
 * {@link #stop}.
 */
public final class Agent {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long DEPARTURE_MILLIS = 500;
    private static final long POLL_MILLIS = 50;

    private final AgentSettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final ProcessTimeline timeline;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EventLoopGroup group = EventLoops.create(1);
    private final PlatformClient platform;
    private final AgentDecisions decisions;
    private final Prober prober;
    private final PlatformReader reader;
    private final DatagramEndpoint datagrams;
    private final AgentLinks links;
    private final HttpEndpoint http;
    private volatile Configuration inForce = Configuration.NONE;
    private volatile long inForceSinceMicros;
    private volatile boolean isWatcher;

    /**
     * Opens the agent's sockets.
     *
     * @param settings settings of the process
     */
    public Agent(AgentSettings settings) {
        this.settings = settings;
        this.timeline = new ProcessTimeline("agent/" + settings.host(), settings.zone(), settings.timelineEvents());
        this.platform = new PlatformClient(settings.platform());
        AgentEngine engine = new AgentEngine(firstStatement(), new SplittableRandom(), timeline, WallClock.nowMicros());
        this.decisions = new AgentDecisions(engine, this::execute, this::publish);
        this.prober = new Prober(r -> decisions.offer(new AgentEvent.ProbeAnswered(WallClock.nowMicros(), r)));
        this.reader = new PlatformReader(
                platform, () -> isWatcher, () -> inForce.version(), settings.objectApiCallsPerSecond(), timeline);
        this.datagrams = new DatagramEndpoint(group, Addresses.parse(settings.agent()), this::onDatagram);
        this.links = new AgentLinks(group, settings.agent(), decisions, timeline.clock());
        this.http = new HttpEndpoint(group, Addresses.parse(settings.http()), this::answer);
        registerMetrics();
    }

    /** Starts the duties. */
    public void start() {
        decisions.start();
        prober.start();
        reader.start(decisions::put);
        List<ListedHost> seeds = settings.seeds().stream()
                .map(a -> new ListedHost("seed-" + a, a, false))
                .toList();
        decisions.put(new AgentEvent.SeedsConfigured(WallClock.nowMicros(), seeds));
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("started"));
        Logger.info("agent {} serves {} and {}", settings.host(), settings.agent(), settings.http());
    }

    /** Leaves in order: callers are sent elsewhere, the local proxy may finish, the other agents are told. */
    public void stop() {
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("stopping"));
        decisions.put(new AgentEvent.StopRequested(WallClock.nowMicros()));
        long patience = TimeUnit.SECONDS.toMicros(inForce.addresses().ttlSeconds());
        long end = WallClock.nowMicros() + patience;
        while (links.isProxyConnected() && WallClock.nowMicros() < end) {
            Pause.millis(POLL_MILLIS);
        }
        decisions.put(new AgentEvent.Left(WallClock.nowMicros()));
        Pause.millis(DEPARTURE_MILLIS);
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("stopped"));
        Logger.info("agent {} stopped", settings.host());
        reader.close();
        prober.close();
        decisions.close();
        http.close();
        links.close();
        datagrams.close();
        EventLoops.close(group);
    }

    private Member firstStatement() {
        return new Member(
                settings.host(),
                incarnation,
                0,
                MemberState.ALIVE,
                settings.zone(),
                settings.agent(),
                settings.proxy(),
                0,
                false,
                0,
                0);
    }

    /** Publishes to other threads what they need of the engine's state; runs on the engine's thread. */
    private void publish(AgentEngine engine) {
        isWatcher = engine.isWatcher();
        if (engine.configuration().version() != inForce.version()) {
            inForceSinceMicros = WallClock.nowMicros();
            inForce = engine.configuration();
            Logger.info("configuration {} is in force", inForce.version());
        }
    }

    private void onDatagram(Wire.AgentDatagram d) {
        long now = WallClock.nowMicros();
        timeline.clock().observe(AgentMessageCodec.clock(d), now);
        decisions.offer(new AgentEvent.MessageReceived(now, AgentMessageCodec.decode(d)));
    }

    private void execute(AgentAction action) {
        switch (action) {
            case AgentAction.Send s ->
                datagrams.send(
                        s.address(),
                        AgentMessageCodec.encode(s.message(), timeline.clock().tick(WallClock.nowMicros())));
            case AgentAction.FetchConfiguration f -> links.fetch(f.address(), f.haveVersion());
            case AgentAction.PushConfiguration p -> links.push(p.configuration());
            case AgentAction.PushUpdate p -> links.push(p.update());
            case AgentAction.Probe p -> prober.request(p);
        }
    }

    private CompletionStage<HttpReply> answer(HttpQuery q) {
        return switch (q.path()) {
            case "/addresses" -> decisions.ask(e -> addresses(e, q.parameter("zone", settings.zone())));
            case "/status" -> decisions.ask(this::status);
            case "/timeline" ->
                CompletableFuture.completedFuture(HttpReply.json(
                        OK, TimelineJson.events(timeline, q.parameter("since", 0), q.parameter("request", ""))));
            case "/metrics" -> CompletableFuture.completedFuture(HttpReply.text(MetricsText.of(registry)));
            default -> CompletableFuture.completedFuture(HttpReply.notFound());
        };
    }

    private static HttpReply addresses(AgentEngine e, String zone) {
        List<String> addresses =
                e.selectEntryHosts(zone).stream().map(Member::proxyAddress).toList();
        int keep = e.configuration().addresses().ttlSeconds();
        String body = TimelineJson.record(new AddressAnswer(addresses, keep));
        return HttpReply.json(addresses.isEmpty() ? UNAVAILABLE : OK, body);
    }

    private HttpReply status(AgentEngine e) {
        Configuration c = e.configuration();
        AgentStatus status = new AgentStatus(
                settings.host(),
                settings.zone(),
                incarnation,
                c.version(),
                c.revisionId(),
                inForceSinceMicros,
                links.isProxyConnected(),
                e.isWatcher(),
                reader.isReachable(),
                platform.calls(),
                prober.sent(),
                datagrams.bytesSent() + links.bytesSent(),
                datagrams.bytesReceived(),
                c.probeBudget().probesPerSecondTotal(),
                List.copyOf(e.leavingServers()),
                e.registeredServers(),
                e.members());
        return HttpReply.json(OK, TimelineJson.record(status));
    }

    private void registerMetrics() {
        gauge("hyssophitch_configuration_version", "version in force", () -> inForce.version());
        gauge("hyssophitch_probes_sent", "probes sent", prober::sent);
        gauge("hyssophitch_object_api_calls", "calls to the platform", platform::calls);
        gauge("hyssophitch_control_sent_bytes", "bytes sent to other agents", datagrams::bytesSent);
        gauge("hyssophitch_control_received_bytes", "bytes received from other agents", datagrams::bytesReceived);
    }

    private void gauge(String name, String help, LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsLong()))
                .register(registry);
    }
}
