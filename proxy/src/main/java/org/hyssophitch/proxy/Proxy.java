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
import org.hyssophitch.core.control.AgedLoadReport;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.http.CallDispatcher;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.tinylog.Logger;

/**
 * The proxy of one entry host. {@link #start} and {@link #stop} are called from outside; all else happens on one event
 * loop.
 */
public final class Proxy {

    private static final long POLL_MILLIS = 20;
    private static final long SETTLE_MILLIS = 250;

    private final ProxySettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final EventLoopGroup group = EventLoops.create(1);
    private final EventLoop loop = (EventLoop) group.next();
    private final SplittableRandom random = new SplittableRandom();
    private final ProcessTimeline timeline;
    private final CallEngine engine;
    private final RequestRouter router = new RequestRouter(random.split());
    private final CallDispatcher carrier;
    private final FrontListener front;
    private final AgentLink agent;
    private final List<Suspicion> suspicions = new ArrayList<>();
    private volatile boolean isStopping;
    private volatile boolean isListening;

    /**
     * Creates a proxy that does not listen yet.
     *
     * @param settings settings of the process
     */
    public Proxy(ProxySettings settings) {
        this.settings = settings;
        timeline = new ProcessTimeline("proxy/" + settings.host(), settings.zone(), settings.timelineEvents());
        engine = new CallEngine(
                new EngineSettings(settings.host(), settings.zone(), incarnation), random.split(), timeline);
        agent = new AgentLink(settings.agent(), loop, this::handle, timeline.clock(), this::status);
        carrier = new CallDispatcher(
                engine,
                loop,
                new OwnHeaders(settings.host(), agent::proxyAddress),
                CallDispatcher.NO_RESPONSE_BUFFERING,
                s -> suspicions.addAll(s.suspicions()));
        ProxyMetrics metrics = new ProxyMetrics();
        LocalAnswers local = new LocalAnswers(engine, timeline, metrics);
        front = new FrontListener(carrier, new CallRules(router, local, metrics));
    }

    /**
     * Starts the duties and listens.
     *
     * @throws org.hyssophitch.wire.net.ListenFailedException when the address for callers can't be bound
     */
    public void start() {
        onLoop(agent::start);
        front.open(group, Addresses.parse(settings.listen()));
        isListening = true;
        record("started");
        Logger.info("proxy {} listens on {}", settings.host(), settings.listen());
    }

    /** Stops as planned: leaves the address answers, serves as long as callers keep them, finishes all in flight. */
    public void stop() {
        isStopping = true;
        record("stopping");
        onLoop(front::beginStop);
        Logger.info("proxy {} leaves the address answers", settings.host());
        Pause.millis(TimeUnit.SECONDS.toMillis(keepSeconds()) + SETTLE_MILLIS);
        onLoop(front::stopListening);
        while (EventLoops.call(loop, front::isBusy)) {
            Pause.millis(POLL_MILLIS);
        }
        record("stopped");
        onLoop(agent::close);
        EventLoops.close(group);
        Logger.info("proxy {} stopped with no request in flight", settings.host());
    }

    private void handle(CallEvent event) {
        if (event instanceof CallEvent.ConfigurationAccepted e) {
            router.accept(e.configuration());
        }
        carrier.handle(event);
    }

    private ProxyStatus status() {
        long now = WallClock.nowMicros();
        List<AgedLoadReport> loads = engine.servers().values().stream()
                .flatMap(s -> s.report().stream())
                .filter(r -> r.ageMicros(now) < TimeUnit.SECONDS.toMicros(1))
                .map(r -> AgedLoadReport.of(r, now))
                .toList();
        long version = engine.configuration().version();
        List<Suspicion> shared = List.copyOf(suspicions);
        suspicions.clear();
        return new ProxyStatus(
                incarnation, isListening && !isStopping && version > 0, carrier.activeCalls(), version, loads, shared);
    }

    private int keepSeconds() {
        return EventLoops.call(loop, () -> engine.configuration().addresses().ttlSeconds());
    }

    private void record(String stage) {
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage(stage));
    }

    private void onLoop(Runnable step) {
        EventLoops.run(loop, step);
    }
}
