package org.hyssophitch.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.control.AgedLoadReport;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.statement.LimitNews;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.http.CallDispatcher;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.tinylog.Logger;

/**
 * The proxy of one entry host: connects the call engine to callers, backend servers and the local agent.
 *
 * <p>{@link #start} and {@link #stop} must be called from outside the event loop; everything else runs on it.
 */
public final class Proxy {

    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long ADDRESS_TTL_MARGIN_MILLIS = 250;

    private final ProxySettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final EventLoopGroup group = EventLoops.create(1, this::onLoopEnd);
    private final EventLoop loop = (EventLoop) group.next();
    private final SplittableRandom random = new SplittableRandom();
    private final ProcessTimeline timeline;
    private final CallEngine engine;
    private final RequestRouter router = new RequestRouter(random.split());
    private final CallDispatcher dispatcher;
    private final FrontListener listener;
    private final AgentLink agentLink;
    private final List<Suspicion> suspicions = new ArrayList<>();
    private volatile boolean isStopping;
    private volatile boolean isClosed;
    private volatile boolean isListening;

    /**
     * Creates a proxy without opening its listener.
     *
     * @param settings settings of the process
     */
    public Proxy(ProxySettings settings) {
        this.settings = settings;
        timeline = new ProcessTimeline("proxy/" + settings.host(), settings.zone(), settings.timelineEvents());
        engine = new CallEngine(
                new EngineSettings(settings.host(), settings.zone(), incarnation), random.split(), timeline);
        agentLink = new AgentLink(settings.agent(), loop, this::handle, timeline.clock(), this::status);
        dispatcher = new CallDispatcher(
                engine,
                loop,
                new HyssophitchHeaders(settings.host(), agentLink::proxyAddress),
                CallDispatcher.NO_RESPONSE_BUFFERING,
                fleetNews());
        ProxyMetrics metrics = new ProxyMetrics();
        LocalEndpoints localEndpoints = new LocalEndpoints(engine, timeline, metrics);
        listener = new FrontListener(dispatcher, new CallRules(router, localEndpoints, metrics));
    }

    /**
     * Connects to the local agent and starts to listen for callers.
     *
     * @throws org.hyssophitch.wire.net.ListenFailedException if the address for callers can't be bound
     */
    public void start() {
        runOnLoop(agentLink::start);
        listener.open(group, Addresses.parse(settings.listen()));
        isListening = true;
        recordStage("started");
        Logger.info("proxy {} listens on {}", settings.host(), settings.listen());
    }

    /**
     * Shuts down gracefully: reports itself as not accepting so that the agents stop handing out its address, keeps
     * serving for the TTL of the addresses that callers have cached, then stops listening and waits for in-flight
     * requests.
     */
    public void stop() {
        isStopping = true;
        recordStage("stopping");
        runOnLoop(listener::beginStop);
        Logger.info("proxy {} is draining; its address is no longer handed out to callers", settings.host());
        Pause.millis(TimeUnit.SECONDS.toMillis(addressTtlSeconds()) + ADDRESS_TTL_MARGIN_MILLIS);
        runOnLoop(listener::stopListening);
        while (EventLoops.call(loop, listener::isBusy)) {
            Pause.millis(DRAIN_POLL_MILLIS);
        }
        recordStage("stopped");
        runOnLoop(agentLink::close);
        isClosed = true;
        EventLoops.close(group);
        Logger.info("proxy {} stopped; no requests were in flight", settings.host());
    }

    private void onLoopEnd() {
        if (!isClosed) {
            Lifecycle.exitWithoutEventLoop();
        }
    }

    /** The agent spreads suspicions; each host hears for itself what servers state. */
    private FleetNews fleetNews() {
        return new FleetNews() {
            @Override
            public void shareSuspicions(List<Suspicion> shared) {
                suspicions.addAll(shared);
            }

            @Override
            public void shareLimit(LimitNews news, boolean isUrgent) {
                // Agents don't spread limits.
            }
        };
    }

    private void handle(CallEvent event) {
        if (event instanceof CallEvent.ConfigurationAccepted e) {
            router.accept(e.configuration(), e.teams());
        }
        dispatcher.handle(event);
    }

    private ProxyStatus status() {
        long now = WallClock.nowMicros();
        List<AgedLoadReport> loads = engine.servers().values().stream()
                .flatMap(s -> s.report().stream())
                .filter(r -> r.ageMicros(now) < TimeUnit.SECONDS.toMicros(1))
                .map(r -> AgedLoadReport.of(r, now))
                .toList();
        long version = engine.configuration().version();
        List<Suspicion> reported = List.copyOf(suspicions);
        suspicions.clear();
        return new ProxyStatus(
                incarnation,
                isListening && !isStopping && version > 0,
                dispatcher.activeCalls(),
                version,
                loads,
                reported);
    }

    private int addressTtlSeconds() {
        return EventLoops.call(loop, () -> engine.configuration().addresses().ttlSeconds());
    }

    private void recordStage(String stage) {
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage(stage));
    }

    private void runOnLoop(Runnable step) {
        EventLoops.run(loop, step);
    }
}
