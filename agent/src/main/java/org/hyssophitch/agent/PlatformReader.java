package org.hyssophitch.agent;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.core.control.ListedHost;
import org.hyssophitch.core.load.TokenBucket;
import org.hyssophitch.core.retry.Backoff;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.wire.concurrent.Pause;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.platform.ConfigurationRecords;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.platform.PlatformResult;

/**
 * Reads the platform: the configuration object by watch or seldom poll, and the host list. Thread-safe; runs from
 * {@link #start} until {@link #close}.
 *
 * <p>Only the few hosts that the engine names watchers keep a watch open. Every call is counted against this host's
 * share of the object API's rate, and failures are repeated with growing, jittered delays.
 */
final class PlatformReader implements AutoCloseable {

    private static final long WATCHER_HOSTS_MILLIS = 1_000;
    private static final long OTHER_HOSTS_MILLIS = 20_000;
    private static final long OTHER_CONFIGURATION_MILLIS = 60_000;
    private static final long BASE_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final double BURST_CALLS = 3;
    private static final long POLL_MILLIS = 100;

    private final PlatformClient client;
    private final BooleanSupplier isWatcher;
    private final LongSupplier versionInForce;
    private final EventRecorder recorder;
    private final TokenBucket share;
    private final SplittableRandom random = new SplittableRandom();
    private volatile boolean isClosed;
    private volatile boolean isReachable = true;
    private Disposable subscription = Disposable.disposed();

    PlatformReader(
            PlatformClient client,
            BooleanSupplier isWatcher,
            LongSupplier versionInForce,
            double callsPerSecond,
            EventRecorder recorder) {
        this.client = client;
        this.isWatcher = isWatcher;
        this.versionInForce = versionInForce;
        this.recorder = recorder;
        this.share = new TokenBucket(callsPerSecond, BURST_CALLS, WallClock.nowMicros());
    }

    /** Starts reading; every reading becomes an event for the engine. */
    void start(Consumer<AgentEvent> sink) {
        Flowable<AgentEvent> configurations = readings(this::readConfiguration);
        Flowable<AgentEvent> hosts = readings(this::readHosts);
        subscription = Flowable.merge(configurations, hosts).subscribe(sink::accept);
    }

    boolean isReachable() {
        return isReachable;
    }

    @Override
    public void close() {
        isClosed = true;
        subscription.dispose();
    }

    private Flowable<AgentEvent> readings(Supplier<Reading> read) {
        Backoff backoff = new Backoff(BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random.split());
        return Flowable.<List<AgentEvent>>generate(emitter -> {
                    Reading reading = read.get();
                    emitter.onNext(reading.events());
                    noteReachable(!reading.isFailure());
                    long delay = reading.isFailure() ? backoff.nextMillis() : reading.delayMillis();
                    if (!reading.isFailure()) {
                        backoff.reset();
                    }
                    pause(delay);
                })
                .takeUntil(events -> isClosed)
                .flatMapIterable(events -> events)
                .subscribeOn(Schedulers.newThread());
    }

    private Reading readConfiguration() {
        boolean isFirst = versionInForce.getAsLong() == 0;
        boolean isWatching = isWatcher.getAsBoolean() && !isFirst;
        takeShare();
        PlatformResult<byte[]> result = isWatching
                ? client.watch(PlatformClient.CONFIGURATION, versionInForce.getAsLong())
                : client.get(PlatformClient.CONFIGURATION);
        long delay = isWatching ? 0 : configurationDelay(isFirst);
        return switch (result) {
            case PlatformResult.Found<byte[]> f -> Reading.of(configurationEvents(f), delay);
            case PlatformResult.Absent<byte[]> a -> Reading.of(List.of(), isWatching ? 0 : WATCHER_HOSTS_MILLIS);
            default -> Reading.failure();
        };
    }

    /** A host that has just learnt its first configuration looks again at once, as a watcher may have to. */
    private long configurationDelay(boolean isFirst) {
        if (isFirst) {
            return WATCHER_HOSTS_MILLIS;
        }
        return OTHER_CONFIGURATION_MILLIS / 2 + random.nextLong(OTHER_CONFIGURATION_MILLIS);
    }

    private static List<AgentEvent> configurationEvents(PlatformResult.Found<byte[]> found) {
        return ConfigurationRecords.decode(found.value(), found.version())
                .<AgentEvent>map(r -> new AgentEvent.ConfigurationRead(WallClock.nowMicros(), r.configuration()))
                .map(List::of)
                .orElse(List.of());
    }

    private Reading readHosts() {
        takeShare();
        long delay = isWatcher.getAsBoolean() ? WATCHER_HOSTS_MILLIS : OTHER_HOSTS_MILLIS;
        return switch (client.hosts()) {
            case PlatformResult.Found<List<ListedHost>> f ->
                Reading.of(List.of(new AgentEvent.HostListRead(WallClock.nowMicros(), f.value())), delay);
            case PlatformResult.Absent<List<ListedHost>> a -> Reading.of(List.of(), delay);
            default -> Reading.failure();
        };
    }

    private synchronized void takeShare() {
        while (!isClosed && !share.tryTake(1, WallClock.nowMicros())) {
            Pause.millis(POLL_MILLIS);
        }
    }

    /** Waits, but no longer than until this host becomes a watcher. */
    private void pause(long millis) {
        boolean wasWatcher = isWatcher.getAsBoolean();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!isClosed && System.nanoTime() < end && (wasWatcher || !isWatcher.getAsBoolean())) {
            Pause.millis(Math.min(POLL_MILLIS, millis));
        }
    }

    private void noteReachable(boolean value) {
        if (value != isReachable) {
            isReachable = value;
            String state = value ? "reachable" : "unreachable";
            recorder.record(WallClock.nowMicros(), "", new EventBody.PlatformState(state));
        }
    }

    /** Result of one reading and the time in milliseconds to wait before the next. */
    private record Reading(List<AgentEvent> events, long delayMillis, boolean isFailure) {

        static Reading of(List<AgentEvent> events, long delayMillis) {
            return new Reading(events, delayMillis, false);
        }

        static Reading failure() {
            return new Reading(List.of(), 0, true);
        }
    }
}
