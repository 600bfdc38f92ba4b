package org.hyssophitch.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.retry.Backoff;

/**
 * Follows all objects of one kind: lists them once, then watches for changes, and lists anew when the history is gone
 * or a watch has failed.
 *
 * <p>Not thread-safe; owned by one thread from {@link #start} until {@link #stop}. A call that fails is repeated after
 * a growing time with jitter, so that hosts don't come back to the store all at once.
 *
 * @param <T> kind of value
 */
public final class KindWatcher<T> {

    /** Takes what is learnt. */
    public interface Listener<T> {

        /**
         * All objects were listed.
         *
         * @param objects the objects by name
         * @param hadOutage whether the store could not be reached before
         */
        void onListed(Map<String, StoredObject<T>> objects, boolean hadOutage);

        /** Objects changed, in this order. */
        void onChanged(List<StoreChanges.Change<T>> changes);

        /**
         * The store became reachable or unreachable for this kind.
         *
         * @param detail what happened
         */
        void onReachabilityChanged(boolean isReachable, String detail);
    }

    /** Longest time in milliseconds for which one watch waits; {@link #relist} ends a wait whose answer got lost. */
    private static final int WATCH_MILLIS = 8_000;
    /** The same for the first watch after a failure: a store that loses history may be deaf to a watch begun then. */
    private static final int DOUBTFUL_WATCH_MILLIS = 1_000;
    /** Time in microseconds in which further changes are collected before the next watch, as each call has a price. */
    private static final long COLLECT_MICROS = 600_000;
    /** Time in microseconds after a watch without changes before the next one. */
    private static final long NEXT_MICROS = 1_000;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MOST_BACKOFF_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ObjectStore store;
    private final ObjectKind<T> kind;
    private final Timers timers;
    private final Listener<T> listener;
    private final Backoff backoff;
    private Map<String, StoredObject<T>> listed = new HashMap<>();
    private long revision;
    private long generation;
    private boolean hasFailed;
    private boolean isWatching;
    private boolean isDoubtful;
    private boolean isStopped;

    /**
     * Creates a follower that doesn't call the store yet.
     *
     * @param store the store
     * @param kind kind of objects
     * @param timers clock and timers of the owning thread
     * @param random seeded source of randomness
     * @param listener takes what is learnt
     */
    public KindWatcher(
            ObjectStore store, ObjectKind<T> kind, Timers timers, RandomGenerator random, Listener<T> listener) {
        this.store = store;
        this.kind = kind;
        this.timers = timers;
        this.listener = listener;
        this.backoff = new Backoff(FIRST_BACKOFF_MILLIS, MOST_BACKOFF_MILLIS, random);
    }

    /** Begins to list. */
    public void start() {
        list("");
    }

    /** Ends following; answers that still come are ignored. */
    public void stop() {
        isStopped = true;
    }

    private void list(String after) {
        if (after.isEmpty()) {
            listed = new HashMap<>();
            isDoubtful = hasFailed || revision > 0;
        }
        store.list(kind, after, false, r -> onPage(r));
    }

    private void onPage(StoreResult<StorePage<T>> result) {
        if (isStopped) {
            return;
        }
        if (!(result instanceof StoreResult.Done<StorePage<T>> done)) {
            retry(describe(result), () -> list(""));
            return;
        }
        StorePage<T> page = done.value();
        page.items().forEach(o -> listed.put(o.name(), o));
        if (page.hasMore()) {
            list(page.lastName());
            return;
        }
        revision = page.revision();
        boolean hadOutage = hasFailed;
        onSuccess();
        listener.onListed(Map.copyOf(listed), hadOutage);
        listed = new HashMap<>();
        watch();
    }

    private void watch() {
        if (!isStopped) {
            generation++;
            long current = generation;
            isWatching = true;
            int waitMillis = isDoubtful ? DOUBTFUL_WATCH_MILLIS : WATCH_MILLIS;
            isDoubtful = false;
            store.watch(kind, revision, waitMillis, r -> {
                if (current == generation) {
                    isWatching = false;
                    onWatched(r);
                }
            });
        }
    }

    /**
     * Lists anew instead of waiting on: the store was away for other calls, so the answer to the watch under way may be
     * lost.
     */
    public void relist() {
        if (isWatching) {
            generation++;
            isWatching = false;
            list("");
        }
    }

    private void onWatched(StoreResult<StoreChanges<T>> result) {
        if (isStopped) {
            return;
        }
        switch (result) {
            case StoreResult.Done<StoreChanges<T>> d -> onChanges(d.value());
            case StoreResult.HistoryGone<StoreChanges<T>> g -> list("");
            default -> retry(describe(result), () -> list(""));
        }
    }

    private void onChanges(StoreChanges<T> changes) {
        revision = Math.max(revision, changes.revision());
        onSuccess();
        if (changes.changes().isEmpty()) {
            timers.after(NEXT_MICROS, this::watch);
            return;
        }
        listener.onChanged(new ArrayList<>(changes.changes()));
        timers.after(COLLECT_MICROS, this::watch);
    }

    private void onSuccess() {
        backoff.reset();
        if (hasFailed) {
            hasFailed = false;
            listener.onReachabilityChanged(true, kind.name());
        }
    }

    private void retry(String detail, Runnable step) {
        if (!hasFailed) {
            hasFailed = true;
            listener.onReachabilityChanged(false, kind.name() + ' ' + detail);
        }
        timers.after(backoff.nextMillis() * MICROS_PER_MILLI, () -> {
            if (!isStopped) {
                step.run();
            }
        });
    }

    private static <V> String describe(StoreResult<V> result) {
        return switch (result) {
            case StoreResult.Done<V> d -> "done";
            case StoreResult.NotFound<V> a -> "absent";
            case StoreResult.Conflict<V> c -> "conflict";
            case StoreResult.HistoryGone<V> g -> "history-gone";
            case StoreResult.Refused<V> r -> "refused-" + r.status();
            case StoreResult.OutcomeUnknown<V> m -> m.cause().name();
        };
    }
}
