package org.hyssophitch.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.store.ChangeSource;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.ObjectKind;
import org.hyssophitch.core.store.ObjectStore;
import org.hyssophitch.core.store.RelaySelector;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreContact;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.core.store.ViewLease;
import org.hyssophitch.core.store.WatchPacing;
import org.hyssophitch.core.store.WatchPlan;
import org.hyssophitch.wire.codec.RelayCodec;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;

/**
 * Both sides of reading the store through another entry host: this host's watches through relays, and the endpoint at
 * which other hosts read through this one. Not thread-safe; confined to the event loop.
 */
final class StoreRelay {

    private static final int MISDIRECTED = 421;

    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private static final long MICROS_PER_MILLI = 1_000;

    private final RelaySelector selector;
    private final Timers timers;
    private final RandomGenerator random;
    private final RelayWatches watches;
    private final RelayedSource.Shared shared;
    private final Map<String, RelayedKind<?>> served = new HashMap<>();

    /**
     * Creates a relay that serves no kind yet.
     *
     * @param live supplies the live members, including this host
     * @param random seeded random generator
     * @param onLeaseExpired called with the kind of objects for which no relay has shown lately that it is current
     */
    StoreRelay(
            EntrySettings settings,
            EventLoop loop,
            Timers timers,
            Supplier<List<Member>> live,
            RandomGenerator random,
            Consumer<String> onLeaseExpired) {
        this.selector = new RelaySelector(settings.host(), settings.zone(), live);
        this.timers = timers;
        this.random = random;
        this.watches = new RelayWatches(onLeaseExpired);
        RelayCaller caller = new RelayCaller(selector, new RelayClients(loop), timers);
        this.shared = new RelayedSource.Shared(selector, new StoreContact(), caller, watches, timers);
    }

    /** Returns the plan by which this host watches a kind of objects. */
    <T> WatchPlan<T> plan(ObjectStore store, ObjectKind<T> kind, RelayCodec<T> codec) {
        return new WatchPlan<>(source(store, kind, codec), this::pacing);
    }

    /** Returns the plan by which this host watches a kind of objects that change rarely. */
    <T> WatchPlan<T> planForRareChanges(ObjectStore store, ObjectKind<T> kind, RelayCodec<T> codec) {
        return new WatchPlan<>(source(store, kind, codec), () -> pacing().forRareChanges());
    }

    /** Lets other hosts read a kind of objects through this host. */
    <T> void serve(String kind, KindWatcher<T> watcher, RelayCodec<T> codec) {
        served.put(kind, new RelayedKind<>(watcher, codec, this::isStoreReachable, this::views, timers));
    }

    /** Lets each watch whose current step is overdue list again. */
    void checkWatches() {
        served.values().forEach(k -> k.watcher().checkProgress());
    }

    /** Registers gauges that tell for each kind how long ago the store was last heard. */
    void registerGauges(EntryMetrics metrics) {
        metrics.registerGauge(
                "hyssophitch_store_silence_seconds",
                "time since this host took over what the store said about a kind of objects",
                "kind",
                served.entrySet().stream()
                        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> silentSeconds(e.getValue()))));
        registerAges(metrics);
    }

    /** Registers gauges that tell for each kind how old this host's view may be. */
    private void registerAges(EntryMetrics metrics) {
        metrics.registerGauge(
                "hyssophitch_store_view_age_seconds",
                "time since the moment up to which this host's view of a kind of objects is known to be complete",
                "kind",
                watches.byKind().entrySet().stream()
                        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> ageSeconds(e.getValue()))));
    }

    private DoubleSupplier ageSeconds(RelayedSource<?> source) {
        return () -> (timers.nowMicros() - source.completeMicros()) / MICROS_PER_SECOND;
    }

    private static DoubleSupplier silentSeconds(RelayedKind<?> kind) {
        return () -> kind.watcher().silentMicros() / MICROS_PER_SECOND;
    }

    /** Handles another host's request; a host that isn't a relay turns it away. */
    CompletionStage<HttpReply> handle(HttpQuery query) {
        RelayRequest request = RelayRequest.of(query);
        RelayedKind<?> kind = served.get(request.kind());
        if (kind == null) {
            return CompletableFuture.completedFuture(HttpReply.notFound());
        }
        if (pacing() != WatchPacing.RELAY) {
            return CompletableFuture.completedFuture(HttpReply.empty(MISDIRECTED));
        }
        return kind.handle(request);
    }

    private <T> RelayedSource<T> source(ObjectStore store, ObjectKind<T> kind, RelayCodec<T> codec) {
        RelayedSource<T> source =
                new RelayedSource<>(kind.name(), ChangeSource.of(store, kind), codec, new ViewLease(random), shared);
        watches.add(kind.name(), source);
        return source;
    }

    /** Returns what this host states about its views, counted from a time in microseconds. */
    private List<RelayedView> views(long arrivalMicros) {
        return served.entrySet().stream()
                .map(e -> new RelayedView(
                        e.getKey(),
                        e.getValue().watcher().changeLog().position(),
                        Math.floorDiv(
                                watches.byKind().get(e.getKey()).completeMicros() - arrivalMicros, MICROS_PER_MILLI)))
                .toList();
    }

    private boolean isStoreReachable() {
        long now = timers.nowMicros();
        return served.values().stream().anyMatch(k -> k.watcher().changeLog().isRecent(now));
    }

    private WatchPacing pacing() {
        return selector.pacing(timers.nowMicros());
    }
}
