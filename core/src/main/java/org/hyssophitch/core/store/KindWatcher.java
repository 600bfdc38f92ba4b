package org.hyssophitch.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.retry.Backoff;

/**
 * Watches all objects of one kind: lists them once, then watches for changes, and lists again when the store no longer
 * holds the history or a watch has failed.
 *
 * <p>Not thread-safe; owned by one thread from {@link #start} until {@link #stop}. A failed call is retried with
 * exponential backoff and jitter, so that hosts don't retry in step after an outage of the store.
 *
 * @param <T> type of the decoded value
 */
public final class KindWatcher<T> {

    /** Receives listings, changes and reachability. */
    public interface Listener<T> {

        /**
         * Called after all objects were listed.
         *
         * @param objects the objects by name
         * @param hadOutage whether calls to the store failed since the last successful one
         */
        void onListed(Map<String, StoredObject<T>> objects, boolean hadOutage);

        /** Called after objects changed; the changes are in order. */
        void onChanged(List<StoreChanges.Change<T>> changes);

        /**
         * Called when the store becomes reachable or unreachable for this kind.
         *
         * @param detail name of the kind and, when unreachable, the reason
         */
        void onReachabilityChanged(boolean isReachable, String detail);
    }

    /** Maximum wait of one watch in milliseconds; {@link #relist} abandons a watch whose response may be lost. */
    private static final int WATCH_MILLIS = 8_000;
    /**
     * Maximum wait in milliseconds of the first watch after a failure or a repeated list. It is shorter because a store
     * that drops its history may never notify a watch that was begun at that moment.
     */
    private static final int RECOVERY_WATCH_MILLIS = 1_000;
    /** Delay in microseconds before the next watch after changes; batches changes because each call has a cost. */
    private static final long BATCH_DELAY_MICROS = 600_000;
    /** Delay in microseconds before the next watch after one without changes. */
    private static final long WATCH_DELAY_MICROS = 1_000;

    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ObjectStore store;
    private final ObjectKind<T> kind;
    private final Timers timers;
    private final Listener<T> listener;
    private final Backoff backoff;
    private Map<String, StoredObject<T>> listed = new HashMap<>();
    private long revision;
    /** Identifies the current watch; the result of an earlier one is ignored. */
    private long watchId;

    private boolean hasFailed;
    private boolean isWatching;
    private boolean usesRecoveryWatch;
    private boolean isStopped;

    /**
     * Creates a watcher that makes no calls until {@link #start}.
     *
     * @param store the store
     * @param kind kind of the objects
     * @param timers clock and timers of the owning thread
     * @param random seeded source of randomness
     * @param listener receives listings, changes and reachability
     */
    public KindWatcher(
            ObjectStore store, ObjectKind<T> kind, Timers timers, RandomGenerator random, Listener<T> listener) {
        this.store = store;
        this.kind = kind;
        this.timers = timers;
        this.listener = listener;
        this.backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
    }

    /** Starts with the first list. */
    public void start() {
        list("");
    }

    /** Stops watching; results that arrive later are ignored. */
    public void stop() {
        isStopped = true;
    }

    private void list(String after) {
        if (after.isEmpty()) {
            listed = new HashMap<>();
            usesRecoveryWatch = hasFailed || revision > 0;
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
            watchId++;
            long current = watchId;
            isWatching = true;
            int waitMillis = usesRecoveryWatch ? RECOVERY_WATCH_MILLIS : WATCH_MILLIS;
            usesRecoveryWatch = false;
            store.watch(kind, revision, waitMillis, r -> {
                if (current == watchId) {
                    isWatching = false;
                    onWatchResult(r);
                }
            });
        }
    }

    /**
     * Abandons the current watch and lists again. Called after the store was unreachable for other calls, as the
     * response to the watch may have been lost.
     */
    public void relist() {
        if (isWatching) {
            watchId++;
            isWatching = false;
            list("");
        }
    }

    private void onWatchResult(StoreResult<StoreChanges<T>> result) {
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
            timers.after(WATCH_DELAY_MICROS, this::watch);
            return;
        }
        listener.onChanged(new ArrayList<>(changes.changes()));
        timers.after(BATCH_DELAY_MICROS, this::watch);
    }

    private void onSuccess() {
        backoff.reset();
        if (hasFailed) {
            hasFailed = false;
            listener.onReachabilityChanged(true, kind.name());
        }
    }

    private void retry(String detail, Runnable task) {
        if (!hasFailed) {
            hasFailed = true;
            listener.onReachabilityChanged(false, kind.name() + ' ' + detail);
        }
        timers.after(backoff.nextMillis() * MICROS_PER_MILLI, () -> {
            if (!isStopped) {
                task.run();
            }
        });
    }

    private static <V> String describe(StoreResult<V> result) {
        return switch (result) {
            case StoreResult.Done<V> d -> "done";
            case StoreResult.Absent<V> a -> "absent";
            case StoreResult.Conflict<V> c -> "conflict";
            case StoreResult.HistoryGone<V> g -> "history-gone";
            case StoreResult.Refused<V> r -> "refused-" + r.status();
            case StoreResult.MayBeDone<V> m -> m.cause().name();
        };
    }
}
