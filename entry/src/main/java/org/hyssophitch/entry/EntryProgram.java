package org.hyssophitch.entry;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.entry.ServiceDefaults;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.ObjectStore;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.http.CallDispatcher;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.http.TcpKeepAlive;
import org.hyssophitch.platform.ConfigurationKind;
import org.hyssophitch.platform.EntryHostKind;
import org.hyssophitch.platform.PlatformEndpoints;
import org.hyssophitch.platform.PlatformHeaders;
import org.hyssophitch.platform.PlatformStore;
import org.hyssophitch.platform.ServerKind;
import org.hyssophitch.wire.duty.Pause;
import org.hyssophitch.wire.duty.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpCaller;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;
import org.hyssophitch.wire.report.JsonLineWriter;
import org.hyssophitch.wire.report.MetricsText;
import org.tinylog.Logger;

/**
 * The program of one entry host. {@link #start} and {@link #stop} are called from outside; all else happens on one
 * event loop.
 */
final class EntryProgram {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    /** Time in seconds for which callers keep an address answer. */
    private static final int KEEP_SECONDS = 2;
    /** Part of the time for a planned stop in which new requests are still taken. */
    private static final double TAKING_PART = 0.55;
    /** Part of the time for a planned stop after which the process ends in any case. */
    private static final double ENDING_PART = 0.95;

    private static final long POLL_MILLIS = 50;
    private static final long STORE_POLL_MILLIS = 4;
    /** Longest time in milliseconds for which the front stays closed at a start. */
    private static final long MOST_STORE_WAIT_MILLIS = 300;

    private static final int STORE_CONNECT_MILLIS = 800;
    private static final int LEAST_HOSTS = 13;

    private volatile EntrySettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final EventLoopGroup group = EventLoops.create(1);
    private final EventLoop loop = (EventLoop) group.next();
    private final EntryMetrics metrics = new EntryMetrics();
    private final EventLog log = new EventLog(metrics);
    private final SplittableRandom random = new SplittableRandom();
    private final RequestRouter router = new RequestRouter(random.split());
    private final CallDispatcher carrier;
    private final FrontListener front;
    private final Peers peers;
    private final ServerBeliefs servers;
    private final KindWatcher<Configuration> configurations;
    private final Registration registration;
    private volatile boolean isStopping;
    private volatile boolean isConfigured;

    EntryProgram(EntrySettings settings) {
        this.settings = settings;
        EngineSettings engine =
                new EngineSettings(settings.host(), settings.zone(), incarnation).withFleetLimits(fleet());
        PlatformHeaders headers = new PlatformHeaders();
        carrier = new CallDispatcher(
                new CallEngine(engine, random.split(), log),
                loop,
                headers,
                CallDispatcher.RESPONSE_BUFFER_BYTES,
                s -> share(s.suspicions()));
        front = new FrontListener(carrier, new EntryRules(router, headers, metrics, log));
        peers = new Peers(
                settings,
                incarnation,
                loop,
                random.split(),
                log,
                router::version,
                this::isReady,
                this::onStoreReturned,
                s -> carrier.handle(new CallEvent.SuspicionsReceived(WallClock.nowMicros(), s)),
                n -> carrier.handle(new CallEvent.FleetChanged(WallClock.nowMicros(), n)));
        LoopTimers timers = new LoopTimers(loop);
        ObjectStore store = new PlatformStore(new HttpCaller(
                loop, Addresses.parse(settings.storeAddress()), STORE_CONNECT_MILLIS, TcpKeepAlive::enable));
        servers =
                new ServerBeliefs(store, new ServerKind(), timers, random.split(), carrier, this::onStoreReturned, log);
        configurations = new KindWatcher<>(
                store,
                new ConfigurationKind(),
                timers,
                random.split(),
                new ConfigurationListener(
                        ConfigurationKind.CURRENT, this::onConfiguration, this::onStoreReturned, log));
        registration = new Registration(
                store, new EntryHostKind(), settings.host(), timers, peers, this::onStoreReturned, random.split());
        metrics.gauge(
                "hyssophitch_log_lines_lost", "log lines lost because their ring was full", JsonLineWriter::dropped);
        metrics.gauge("hyssophitch_calls_in_flight", "requests without a final answer", carrier::activeCalls);
        metrics.gauge("hyssophitch_backend_connections", "connections to backend servers", carrier::backendConnections);
        metrics.gauge("hyssophitch_caller_connections", "connections of callers", front::connections);
        metrics.gauge("hyssophitch_configuration_version", "version of the configuration in force", router::version);
    }

    /** Listens and begins to follow what is in the store. */
    void start() {
        EntrySettings.Addresses a = settings.addresses();
        open(a.readiness(), q -> reply(this::readiness));
        open(a.directory(), q -> reply(() -> directory(q)));
        open(a.metrics(), q -> reply(() -> HttpReply.text(MetricsText.of(metrics.registry()))));
        peers.open(group);
        onLoop(() -> {
            peers.start();
            configurations.start();
            servers.start();
            registration.start();
        });
        awaitStore();
        front.open(group, Addresses.parse(a.front()));
        onLoop(() -> {
            record("started");
            peers.refreshReadiness();
        });
    }

    /** Callers that come before the store has answered would only be turned away, so the front opens a little later. */
    private void awaitStore() {
        long startNanos = System.nanoTime();
        while (!isInformed() && elapsedMillis(startNanos) < MOST_STORE_WAIT_MILLIS) {
            Pause.millis(STORE_POLL_MILLIS);
        }
    }

    /**
     * Stops as planned: callers aren't sent here any more, those that still come are served for a part of the time, and
     * every request that was taken is finished.
     */
    void stop() {
        long startNanos = System.nanoTime();
        isStopping = true;
        onLoop(this::beginStop);
        double grace = settings.bounds().gracePeriodMillis();
        Pause.millis((long) (grace * TAKING_PART));
        onLoop(front::stopListening);
        while (EventLoops.call(loop, front::isBusy) && elapsedMillis(startNanos) < grace * ENDING_PART) {
            Pause.millis(POLL_MILLIS);
        }
        onLoop(() -> {
            peers.leave();
            record("stopped");
        });
        Pause.millis(POLL_MILLIS);
    }

    /** Takes over the bounds of changed settings; host, zone and addresses count from the next start. */
    void onSettings(EntrySettings changed) {
        EntrySettings applied = settings.withBounds(changed.bounds());
        if (!applied.equals(changed)) {
            Logger.warn("settings of {} beside its bounds changed; they count from the next start", changed.host());
        }
        settings = applied;
        onLoop(() -> carrier.handle(new CallEvent.FleetLimitsChanged(WallClock.nowMicros(), fleet())));
        record("settings applied");
    }

    private void beginStop() {
        record("stopping");
        front.beginStop();
        peers.refreshReadiness();
        registration.stop();
    }

    private void open(String address, Function<HttpQuery, CompletionStage<HttpReply>> handler) {
        if (!address.isEmpty()) {
            new HttpEndpoint(group, Addresses.parse(address), handler);
        }
    }

    private static CompletionStage<HttpReply> reply(Supplier<HttpReply> answer) {
        return CompletableFuture.completedFuture(answer.get());
    }

    private HttpReply readiness() {
        return HttpReply.empty(isReady() ? OK : UNAVAILABLE);
    }

    private boolean isReady() {
        return !isStopping && isInformed();
    }

    private boolean isInformed() {
        return isConfigured && servers.isListed();
    }

    private HttpReply directory(HttpQuery query) {
        List<String> addresses = Directory.addresses(peers.accepting(), PlatformEndpoints.callerZone(query));
        int keep = Math.min(KEEP_SECONDS, settings.bounds().maxTtlSeconds());
        return addresses.isEmpty()
                ? HttpReply.empty(UNAVAILABLE)
                : HttpReply.json(OK, PlatformEndpoints.directoryAnswer(addresses, keep));
    }

    private void onConfiguration(Configuration accepted) {
        Configuration completed = ServiceDefaults.applyTo(accepted, RoutingKind.ASKED_LOAD);
        if (router.accept(completed)) {
            carrier.handle(new CallEvent.ConfigurationAccepted(WallClock.nowMicros(), completed));
        }
        isConfigured = true;
        peers.refreshReadiness();
    }

    /** After an outage that one call or another host has shown, answers that calls wait for may be lost. */
    private void onStoreReturned() {
        servers.onStoreReturned();
        configurations.relist();
    }

    private void share(List<Suspicion> suspicions) {
        peers.share(suspicions);
    }

    private FleetLimits fleet() {
        EntrySettings.Bounds b = settings.bounds();
        return new FleetLimits(
                b.extraAttemptRatio(),
                b.extraAttemptAllowance(),
                TimeUnit.MILLISECONDS.toMicros(b.extraAttemptWindowMillis()),
                b.loadProbesPerSecond(),
                LEAST_HOSTS);
    }

    private void record(String stage) {
        log.record(WallClock.nowMicros(), "", new EventBody.ProcessStage(stage));
    }

    private void onLoop(Runnable step) {
        EventLoops.run(loop, step);
    }

    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
