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
import org.hyssophitch.wire.duty.Pause;
import org.hyssophitch.wire.duty.WallClock;
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

    private static final long WATCHER_POLL_MILLIS = 1_000;
    private static final long HOST_LIST_POLL_MILLIS = 20_000;
    private static final long CONFIGURATION_POLL_MILLIS = 60_000;
    private static final long BASE_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final double BURST_CALLS = 3;
    private static final long WAIT_STEP_MILLIS = 100;

    private final PlatformClient client;
    private final BooleanSupplier isWatcher;
    private final LongSupplier versionInForce;
    private final EventRecorder recorder;
    private final TokenBucket callBudget;
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
        this.callBudget = new TokenBucket(callsPerSecond, BURST_CALLS, WallClock.nowMicros());
    }

    /** Starts reading; every reading becomes an event for the engine. */
    void start(Consumer<AgentEvent> sink) {
        Flowable<AgentEvent> configurations = poll(this::readConfiguration);
        Flowable<AgentEvent> hosts = poll(this::readHosts);
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

    private Flowable<AgentEvent> poll(Supplier<ReadResult> read) {
        Backoff backoff = new Backoff(BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random.split());
        return Flowable.<List<AgentEvent>>generate(emitter -> {
                    ReadResult result = read.get();
                    emitter.onNext(result.events());
                    recordReachability(!result.isFailure());
                    long delayMillis = result.isFailure() ? backoff.nextMillis() : result.delayMillis();
                    if (!result.isFailure()) {
                        backoff.reset();
                    }
                    pause(delayMillis);
                })
                .takeUntil(events -> isClosed)
                .flatMapIterable(events -> events)
                .subscribeOn(Schedulers.newThread());
    }

    private ReadResult readConfiguration() {
        boolean isFirst = versionInForce.getAsLong() == 0;
        boolean isWatching = isWatcher.getAsBoolean() && !isFirst;
        awaitCallBudget();
        PlatformResult<byte[]> result = isWatching
                ? client.watch(PlatformClient.CONFIGURATION, versionInForce.getAsLong())
                : client.get(PlatformClient.CONFIGURATION);
        long delayMillis = isWatching ? 0 : configurationDelayMillis(isFirst);
        return switch (result) {
            case PlatformResult.Found<byte[]> f -> ReadResult.of(configurationEvents(f), delayMillis);
            case PlatformResult.Absent<byte[]> a -> ReadResult.of(List.of(), isWatching ? 0 : WATCHER_POLL_MILLIS);
            default -> ReadResult.failure();
        };
    }

    /** A host that has just learnt its first configuration looks again at once, as a watcher may have to. */
    private long configurationDelayMillis(boolean isFirst) {
        if (isFirst) {
            return WATCHER_POLL_MILLIS;
        }
        return CONFIGURATION_POLL_MILLIS / 2 + random.nextLong(CONFIGURATION_POLL_MILLIS);
    }

    private static List<AgentEvent> configurationEvents(PlatformResult.Found<byte[]> found) {
        return ConfigurationRecords.decode(found.value(), found.version())
                .<AgentEvent>map(r -> new AgentEvent.ConfigurationRead(WallClock.nowMicros(), r.configuration()))
                .map(List::of)
                .orElse(List.of());
    }

    private ReadResult readHosts() {
        awaitCallBudget();
        long delayMillis = isWatcher.getAsBoolean() ? WATCHER_POLL_MILLIS : HOST_LIST_POLL_MILLIS;
        return switch (client.hosts()) {
            case PlatformResult.Found<List<ListedHost>> f ->
                ReadResult.of(List.of(new AgentEvent.HostListRead(WallClock.nowMicros(), f.value())), delayMillis);
            case PlatformResult.Absent<List<ListedHost>> a -> ReadResult.of(List.of(), delayMillis);
            default -> ReadResult.failure();
        };
    }

    private synchronized void awaitCallBudget() {
        while (!isClosed && !callBudget.tryTake(1, WallClock.nowMicros())) {
            Pause.millis(WAIT_STEP_MILLIS);
        }
    }

    /** Waits, but no longer than until this host becomes a watcher. */
    private void pause(long millis) {
        boolean wasWatcher = isWatcher.getAsBoolean();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!isClosed && System.nanoTime() < end && (wasWatcher || !isWatcher.getAsBoolean())) {
            Pause.millis(Math.min(WAIT_STEP_MILLIS, millis));
        }
    }

    private void recordReachability(boolean value) {
        if (value != isReachable) {
            isReachable = value;
            String state = value ? "reachable" : "unreachable";
            recorder.record(WallClock.nowMicros(), "", new EventBody.PlatformState(state));
        }
    }

    /** Result of one reading and the time in milliseconds to wait before the next. */
    private record ReadResult(List<AgentEvent> events, long delayMillis, boolean isFailure) {

        static ReadResult of(List<AgentEvent> events, long delayMillis) {
            return new ReadResult(events, delayMillis, false);
        }

        static ReadResult failure() {
            return new ReadResult(List.of(), 0, true);
        }
    }
}
