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
 * Reads the configuration object and the host list from the platform. Thread-safe; runs from {@link #start} until
 * {@link #close}.
 *
 * <p>Only the few hosts that the engine selects as watchers keep a watch on the configuration object open and poll the
 * host list often; the others poll both at long intervals. Every call is charged to this host's share of the object
 * API's rate limit, and failed calls are retried with exponential backoff and jitter.
 */
final class PlatformReader implements AutoCloseable {

    /** Interval of host list polls on watchers, and of configuration polls while there is no configuration. */
    private static final long WATCHER_POLL_MILLIS = 1_000;
    /** Interval of host list polls on hosts that are not watchers. */
    private static final long HOST_LIST_POLL_MILLIS = 20_000;
    /** Mean interval of configuration polls on hosts that are not watchers; jittered by half of it either way. */
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

    /** Starts reading; passes what is read to the sink as events for the engine. */
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

    /**
     * Returns the delay until the next poll. It is short after a first read, because a host that has just received its
     * first configuration may have to act as a watcher.
     */
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

    /** Waits; returns early if this host becomes a watcher. */
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

    /** Events from one read, and the time in milliseconds to wait before the next read. */
    private record ReadResult(List<AgentEvent> events, long delayMillis, boolean isFailure) {

        static ReadResult of(List<AgentEvent> events, long delayMillis) {
            return new ReadResult(events, delayMillis, false);
        }

        static ReadResult failure() {
            return new ReadResult(List.of(), 0, true);
        }
    }
}
