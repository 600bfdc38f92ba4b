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
import org.hyssophitch.wire.concurrent.Lifecycle;
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
 * The agent of one entry host: connects the agent engine to its datagram, TCP and HTTP endpoints, to the platform and
 * to the prober. Thread-safe; runs from {@link #start} until {@link #stop}.
 */
public final class Agent {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    /** Time in milliseconds for the leave announcement to go out before the sockets are closed. */
    private static final long LEAVE_ANNOUNCEMENT_MILLIS = 500;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final AgentSettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final ProcessTimeline timeline;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EventLoopGroup group = EventLoops.create(1, this::onLoopEnd);
    private final PlatformClient platform;
    private final AgentEngineThread engineThread;
    private final Prober prober;
    private final PlatformReader platformReader;
    private final DatagramEndpoint datagrams;
    private final AgentLinks links;
    private final HttpEndpoint http;
    private volatile Configuration inForce = Configuration.NONE;
    private volatile long inForceSinceMicros;
    private volatile boolean isWatcher;
    private volatile boolean isClosed;

    /**
     * Creates the agent and binds its sockets.
     *
     * @param settings settings of the process
     */
    public Agent(AgentSettings settings) {
        this.settings = settings;
        this.timeline = new ProcessTimeline("agent/" + settings.host(), settings.zone(), settings.timelineEvents());
        this.platform = new PlatformClient(settings.platform());
        AgentEngine engine = new AgentEngine(initialMember(), new SplittableRandom(), timeline, WallClock.nowMicros());
        this.engineThread = new AgentEngineThread(engine, this::execute, this::publishState);
        this.prober = new Prober(r -> engineThread.offer(new AgentEvent.ProbeAnswered(WallClock.nowMicros(), r)));
        this.platformReader = new PlatformReader(
                platform, () -> isWatcher, () -> inForce.version(), settings.objectApiCallsPerSecond(), timeline);
        this.datagrams = new DatagramEndpoint(group, Addresses.parse(settings.agent()), this::onDatagram);
        this.links = new AgentLinks(group, settings.agent(), engineThread, timeline.clock());
        this.http = new HttpEndpoint(group, Addresses.parse(settings.http()), this::handleRequest);
        registerMetrics();
    }

    /** Starts the engine, the prober and the reads from the platform. */
    public void start() {
        engineThread.start();
        prober.start();
        platformReader.start(engineThread::put);
        List<ListedHost> seeds = settings.seeds().stream()
                .map(a -> new ListedHost("seed-" + a, a, false))
                .toList();
        engineThread.put(new AgentEvent.SeedsConfigured(WallClock.nowMicros(), seeds));
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("started"));
        Logger.info(
                "agent {} listens on {} (agents and proxy) and {} (HTTP)",
                settings.host(),
                settings.agent(),
                settings.http());
    }

    /**
     * Shuts down gracefully: directs callers to other entry hosts, waits until the local proxy disconnects or the TTL
     * of the address responses has passed, and announces to the other agents that this host leaves.
     */
    public void stop() {
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("stopping"));
        engineThread.put(new AgentEvent.StopRequested(WallClock.nowMicros()));
        long drainTimeoutMicros = TimeUnit.SECONDS.toMicros(inForce.addresses().ttlSeconds());
        long end = WallClock.nowMicros() + drainTimeoutMicros;
        while (links.isProxyConnected() && WallClock.nowMicros() < end) {
            Pause.millis(DRAIN_POLL_MILLIS);
        }
        engineThread.put(new AgentEvent.Left(WallClock.nowMicros()));
        Pause.millis(LEAVE_ANNOUNCEMENT_MILLIS);
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("stopped"));
        Logger.info("agent {} stopped", settings.host());
        platformReader.close();
        prober.close();
        engineThread.close();
        http.close();
        links.close();
        datagrams.close();
        isClosed = true;
        EventLoops.close(group);
    }

    private void onLoopEnd() {
        if (!isClosed) {
            Lifecycle.exitWithoutEventLoop();
        }
    }

    private Member initialMember() {
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
                        0)
                .withFormat(Member.FORMAT);
    }

    /** Publishes the parts of the engine's state that other threads read; runs on the engine's thread. */
    private void publishState(AgentEngine engine) {
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
        engineThread.offer(new AgentEvent.MessageReceived(now, AgentMessageCodec.decode(d)));
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
            case AgentAction.Probe p -> prober.submit(p);
        }
    }

    private CompletionStage<HttpReply> handleRequest(HttpQuery q) {
        return switch (q.path()) {
            case "/addresses" -> engineThread.query(e -> addresses(e, q.parameter("zone", settings.zone())));
            case "/status" -> engineThread.query(this::status);
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
        int ttlSeconds = e.configuration().addresses().ttlSeconds();
        String body = TimelineJson.record(new AddressAnswer(addresses, ttlSeconds));
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
                platformReader.isReachable(),
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
        registerGauge("hyssophitch_configuration_version", "version in force", () -> inForce.version());
        registerGauge("hyssophitch_probes_sent", "probes sent", prober::sent);
        registerGauge("hyssophitch_object_api_calls", "calls to the platform", platform::calls);
        registerGauge("hyssophitch_control_sent_bytes", "bytes sent to other agents", datagrams::bytesSent);
        registerGauge(
                "hyssophitch_control_received_bytes", "bytes received from other agents", datagrams::bytesReceived);
        registerGauge("hyssophitch_datagrams_malformed", "datagrams that were dropped", datagrams::malformed);
        registerGauge(
                "hyssophitch_datagrams_undeliverable",
                "parts of messages that fit into no datagram",
                datagrams::undeliverable);
    }

    private void registerGauge(String name, String help, LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsLong()))
                .register(registry);
    }
}
