package org.hyssophitch.entry;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.entry.ServiceDefaults;
import org.hyssophitch.core.entry.StopPlan;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.ObjectStore;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.http.CallDispatcher;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.http.TcpKeepAlive;
import org.hyssophitch.platform.ConfigurationKind;
import org.hyssophitch.platform.EntryHostKind;
import org.hyssophitch.platform.EvacuationKind;
import org.hyssophitch.platform.PlatformHeaders;
import org.hyssophitch.platform.PlatformStore;
import org.hyssophitch.platform.ServerKind;
import org.hyssophitch.wire.codec.RelayCodec;
import org.hyssophitch.wire.codec.RelayedConfigurationCodec;
import org.hyssophitch.wire.codec.RelayedEvacuationCodec;
import org.hyssophitch.wire.codec.RelayedRegistrationCodec;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpClient;
import org.tinylog.Logger;

/**
 * Wires up and runs one entry host: data path, store watches, membership, and the readiness, directory and metrics
 * endpoints.
 *
 * <p>{@link #start}, {@link #stop} and {@link #onSettings} are called from other threads; everything else runs on one
 * event loop.
 */
final class EntryProgram {

    /** Time in milliseconds for the last messages to the other hosts and the store to leave. */
    private static final long LEAVE_MILLIS = 50;

    private static final long STORE_POLL_MILLIS = 4;
    /** Maximum time in milliseconds that startup waits for the store before the front listens. */
    private static final long MAX_STORE_WAIT_MILLIS = 300;

    private static final int STORE_CONNECT_TIMEOUT_MILLIS = 800;

    private volatile EntrySettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final EntryMetrics metrics = new EntryMetrics();
    private final EventLog log = new EventLog(metrics);
    private final SplittableRandom random = new SplittableRandom();
    private final RequestRouter router = new RequestRouter(random.split());
    private final CallDispatcher dispatcher;
    private final FrontListener front;
    private final Peers peers;
    private final RegisteredServerWatcher serverWatcher;
    private final KindWatcher<Configuration> configurationWatcher;
    private final Optional<EvacuationWatcher> evacuations;
    private final StoreRelay storeRelay;
    private final Registration registration;
    private volatile boolean isStopping;
    private volatile boolean isClosed;
    private volatile boolean isFrontOpen;
    private volatile boolean isConfigured;
    private boolean hasQuotas;

    /**
     * Creates a program that isn't started.
     *
     * @param onLoopLost called when the event loop ends by an error; the program can't go on then
     */
    EntryProgram(EntrySettings settings, Runnable onLoopLost) {
        this.settings = settings;
        group = EventLoops.create(1, () -> onLoopEnd(onLoopLost));
        loop = (EventLoop) group.next();
        EngineSettings engineSettings = new EngineSettings(settings.host(), settings.zone(), incarnation)
                .withFleetLimits(EngineLimits.fleet(settings.bounds()))
                .withQuotaTolerance(EngineLimits.quotas(settings.bounds()));
        PlatformHeaders headers = new PlatformHeaders();
        peers = new Peers(settings, incarnation, loop, random.split(), log, new LocalHostView());
        dispatcher = new CallDispatcher(
                new CallEngine(engineSettings, random.split(), log),
                loop,
                headers,
                CallDispatcher.RESPONSE_BUFFER_BYTES,
                peers);
        front = new FrontListener(dispatcher, new EntryRules(router, headers, metrics, log));
        EventLoopTimers timers = new EventLoopTimers(loop);
        ObjectStore store = new PlatformStore(
                new HttpClient(
                        loop,
                        Addresses.parse(settings.storeAddress()),
                        STORE_CONNECT_TIMEOUT_MILLIS,
                        TcpKeepAlive::enable),
                this::onStoreEpoch,
                new InvalidObjectLog(metrics, log)::onInvalid);
        storeRelay = new StoreRelay(settings, loop, timers, peers::live, random.split(), metrics::onLeaseExpired);
        ServerKind servers = new ServerKind();
        RelayCodec<RegisteredServer> registrationCodec = new RelayedRegistrationCodec();
        serverWatcher = new RegisteredServerWatcher(
                servers.name(),
                timers,
                storeRelay.plan(store, servers, registrationCodec),
                random.split(),
                dispatcher,
                this::onStoreRecovered,
                log);
        ConfigurationKind configurations = new ConfigurationKind();
        RelayCodec<Configuration> configurationCodec = new RelayedConfigurationCodec();
        configurationWatcher = new KindWatcher<>(
                configurations.name(),
                timers,
                storeRelay.planForRareChanges(store, configurations, configurationCodec),
                random.split(),
                new ConfigurationListener(
                        ConfigurationKind.CURRENT, this::onConfiguration, this::onStoreRecovered, log));
        storeRelay.serve(servers.name(), serverWatcher.watcher(), registrationCodec);
        storeRelay.serve(configurations.name(), configurationWatcher, configurationCodec);
        evacuations = evacuationWatcher(store, timers);
        registration = new Registration(
                store, new EntryHostKind(), settings.host(), timers, peers, this::onStoreRecovered, random.split());
        new EntryGauges(metrics, dispatcher, front, router).register();
        metrics.registerGauge(
                "hyssophitch_evacuated_zones",
                "availability zones to whose backend servers nothing is sent",
                () -> evacuations.map(EvacuationWatcher::count).orElse(0));
        storeRelay.registerGauges(metrics);
    }

    /** Returns the name of this entry host. */
    String host() {
        return settings.host();
    }

    /** Returns the event loop on which this host does all its work. */
    EventLoop loop() {
        return loop;
    }

    private void onLoopEnd(Runnable onLoopLost) {
        if (!isClosed) {
            onLoopLost.run();
        }
    }

    /** Returns the watcher of evacuations, where the operator's bounds say that there may be any. */
    private Optional<EvacuationWatcher> evacuationWatcher(ObjectStore store, EventLoopTimers timers) {
        if (settings.bounds().zones().evacuationMillis() <= 0) {
            return Optional.empty();
        }
        EvacuationKind kind = new EvacuationKind();
        RelayCodec<String> codec = new RelayedEvacuationCodec();
        EvacuationWatcher watcher = new EvacuationWatcher(
                kind.name(),
                timers,
                storeRelay.planForRareChanges(store, kind, codec),
                random.split(),
                this::onEvacuations,
                this::onStoreRecovered,
                log);
        storeRelay.serve(kind.name(), watcher.watcher(), codec);
        return Optional.of(watcher);
    }

    /**
     * Opens the endpoints, starts the store watches, and listens for requests once the initial state has been loaded or
     * {@value #MAX_STORE_WAIT_MILLIS} ms have passed. The other entry hosts, which no request needs, are listed after
     * that.
     */
    void start() {
        new HostEndpoints(this::isReady, peers, () -> settings.bounds().maxTtlSeconds(), metrics, storeRelay)
                .open(group, settings.addresses());
        peers.open(group);
        peers.registerGauges(metrics);
        runOnLoop(() -> {
            peers.start(
                    storeRelay::checkWatches,
                    serverWatcher::checkProgress,
                    registration::checkProgress,
                    new HeartbeatDelay(metrics));
            configurationWatcher.start();
            serverWatcher.start();
            evacuations.ifPresent(e -> e.watcher().start());
            dispatcher.handle(
                    new CallEvent.ColdBoundChanged(WallClock.nowMicros(), EngineLimits.cold(settings.bounds())));
        });
        awaitInitialState();
        if (openFront()) {
            runOnLoop(() -> {
                recordStage("started");
                peers.refreshReadiness();
                registration.start();
            });
        }
    }

    /** Opens the front unless the stop has begun; returns whether it is open. */
    private synchronized boolean openFront() {
        if (!isStopping) {
            front.open(group, Addresses.parse(settings.addresses().front()));
            isFrontOpen = true;
        }
        return isFrontOpen;
    }

    /** Begins the stop, after which the front isn't opened any more; returns whether it was opened before. */
    private synchronized boolean setStopping() {
        isStopping = true;
        return isFrontOpen;
    }

    /** Delays opening the front, because requests that arrive before the first store response would be rejected. */
    private void awaitInitialState() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_STORE_WAIT_MILLIS);
        while (!hasInitialState() && System.nanoTime() < endNanos) {
            Pause.millis(STORE_POLL_MILLIS);
        }
    }

    /** Shuts down gracefully; may be called while {@link #start} runs. */
    void stop() {
        StopPlan plan = new StopPlan(WallClock.nowMicros(), settings.bounds().gracePeriodMillis());
        boolean hasCallers = setStopping();
        runOnLoop(() -> beginStop(plan));
        runEvenIfFailing(peers::refreshReadiness);
        runEvenIfFailing(registration::stop);
        if (hasCallers) {
            new GracefulStop(loop, front, log, plan).awaitEnd();
        }
        runEvenIfFailing(peers::leave);
        runOnLoop(() -> recordStage("stopped"));
        Pause.millis(LEAVE_MILLIS);
        isClosed = true;
        EventLoops.close(group);
    }

    /** Applies the bounds of changed settings; changes to host, zone and addresses require a restart. */
    void onSettings(EntrySettings changed) {
        EntrySettings applied = settings.withBounds(changed.bounds());
        if (!applied.equals(changed)) {
            Logger.warn(
                    "settings of {} other than its bounds changed; they take effect after a restart", changed.host());
        }
        settings = applied;
        runOnLoop(() -> {
            dispatcher.handle(
                    new CallEvent.FleetLimitsChanged(WallClock.nowMicros(), EngineLimits.fleet(settings.bounds())));
            dispatcher.handle(
                    new CallEvent.ColdBoundChanged(WallClock.nowMicros(), EngineLimits.cold(settings.bounds())));
        });
        recordStage("settings applied");
    }

    private void beginStop(StopPlan plan) {
        recordStage("stopping");
        front.beginStop(plan);
    }

    /** Runs a task of the stop whose failure must not keep the host from finishing what it has taken. */
    private void runEvenIfFailing(Runnable task) {
        try {
            runOnLoop(task);
        } catch (RuntimeException e) {
            Logger.error(e, "a task of the stop failed");
        }
    }

    private boolean isReady() {
        return isFrontOpen && !isStopping && hasInitialState();
    }

    private boolean hasInitialState() {
        return isConfigured
                && serverWatcher.isListed()
                && evacuations.map(EvacuationWatcher::isListed).orElse(true);
    }

    private void onConfiguration(Configuration accepted) {
        Configuration completed = ServiceDefaults.applyTo(accepted, RoutingKind.ASKED_LOAD);
        if (hasQuotas(completed)) {
            // The engine has to know the owners when it comes to know the quotas.
            peers.shareQuotaHosts();
        }
        if (router.accept(completed)) {
            hasQuotas = hasQuotas(completed);
            dispatcher.handle(new CallEvent.ConfigurationAccepted(WallClock.nowMicros(), completed, router.teams()));
            log.recordTeamProblems(completed.version(), router.teams().problems());
        }
        isConfigured = true;
        peers.refreshReadiness();
    }

    /**
     * Lists servers and configuration again, because responses to pending watches may be lost. Called when one store
     * call succeeds after an outage, or when a peer's newer configuration shows that this host has missed a change.
     */
    private void onStoreRecovered() {
        serverWatcher.relistAfterOutage();
        configurationWatcher.relist();
        evacuations.ifPresent(e -> e.watcher().relist());
    }

    /** Handles an answer of the store that showed that it was restored from a copy. */
    private void onStoreEpoch(long epoch) {
        serverWatcher.onEpoch(epoch);
        configurationWatcher.onEpoch(epoch);
        evacuations.ifPresent(e -> e.watcher().onEpoch(epoch));
        registration.onStoreRestored();
    }

    private void onEvacuations(Set<String> zones) {
        dispatcher.handle(new CallEvent.ZonesEvacuated(WallClock.nowMicros(), zones));
        peers.refreshReadiness();
    }

    private static boolean hasQuotas(Configuration c) {
        return c.teams().stream().anyMatch(Team::hasQuota);
    }

    private void recordStage(String stage) {
        log.record(WallClock.nowMicros(), "", new EventBody.ProcessStage(stage));
    }

    private void runOnLoop(Runnable task) {
        EventLoops.run(loop, task);
    }

    /** What the other hosts are told of this one, and what they tell it. */
    private final class LocalHostView implements LocalHost {

        @Override
        public long configurationVersion() {
            return router.version();
        }

        @Override
        public boolean isReady() {
            return EntryProgram.this.isReady();
        }

        @Override
        public OptionalLong storeReachableSinceMicros() {
            return serverWatcher.watcher().reachableSinceMicros();
        }

        @Override
        public void onStaleConfiguration() {
            onStoreRecovered();
        }

        @Override
        public void onStoreReachedSince(long sinceMicros) {
            serverWatcher.onStoreReachedSince(sinceMicros);
        }

        @Override
        public boolean hasQuotas() {
            return hasQuotas;
        }

        @Override
        public void onEvent(CallEvent event) {
            dispatcher.handle(event);
        }
    }
}
