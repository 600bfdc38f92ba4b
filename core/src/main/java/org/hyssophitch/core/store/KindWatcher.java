package org.hyssophitch.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.retry.Backoff;

/**
 * Watches all objects of one kind: lists them once, then watches for changes, and lists again when the store no longer
 * holds the history, when a watch has failed, and when the store was restored from a copy.
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

        /**
         * Called before the first listing after the store was restored from a copy: the listing may lack objects that
         * were already delivered and contain earlier states of others, until their writers write them again.
         */
        void onRestored();

        /** Called after objects changed; the changes are in order. */
        void onChanged(List<StoreChanges.Change<T>> changes);

        /**
         * Called when the store becomes reachable or unreachable for this kind.
         *
         * @param detail name of the kind and, when unreachable, the reason
         */
        void onReachabilityChanged(boolean isReachable, String detail);
    }

    /**
     * Maximum wait in milliseconds of the first watch after a failure or a repeated list. It is shorter because a store
     * that drops its history may never notify a watch that was begun at that moment.
     */
    private static final int RECOVERY_WATCH_MILLIS = 1_000;
    /** Delay in microseconds before the next watch after one without changes. */
    private static final long WATCH_DELAY_MICROS = 1_000;

    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final String kind;
    private final Timers timers;
    private final Listener<T> listener;
    private final WatchPlan<T> plan;
    private final Backoff backoff;
    private final ChangeLog<T> changeLog = new ChangeLog<>();
    private PagedList<T> listing = new PagedList<>(false);
    private StorePosition position = StorePosition.NONE;
    private WatchPacing currentPacing = WatchPacing.ALONE;
    /** Identifies the current watch; the result of an earlier one is ignored. */
    private long watchId;

    private boolean hasFailed;
    private long reachableSinceMicros;
    private boolean isWatching;
    private boolean usesRecoveryWatch;
    private boolean mustList;
    private boolean isStopped;

    /**
     * Creates a watcher that makes no calls until {@link #start}.
     *
     * @param kind name of the kind, for log lines
     * @param timers clock and timers of the owning thread
     * @param plan how it watches for changes
     * @param random seeded source of randomness
     * @param listener receives listings, changes and reachability
     */
    public KindWatcher(String kind, Timers timers, WatchPlan<T> plan, RandomGenerator random, Listener<T> listener) {
        this.kind = kind;
        this.timers = timers;
        this.plan = plan;
        this.listener = listener;
        this.backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
    }

    /** Starts with the first list. */
    public void start() {
        list();
    }

    /** Stops watching; results that arrive later are ignored. */
    public void stop() {
        isStopped = true;
    }

    /** Returns what this watcher has received, for hosts that watch through this one. */
    public ChangeLog<T> changeLog() {
        return changeLog;
    }

    /**
     * Returns the time in microseconds since which the store has answered every call for this kind. Empty when the last
     * call failed or the store hasn't answered lately, so that an outage may go unnoticed.
     */
    public OptionalLong reachableSinceMicros() {
        boolean isReachable = !hasFailed && changeLog.isRecent(timers.nowMicros());
        return isReachable ? OptionalLong.of(reachableSinceMicros) : OptionalLong.empty();
    }

    private void list() {
        listing = new PagedList<>(false);
        listPages();
    }

    private void listCurrentPages() {
        listing = new PagedList<>(true);
        listPages();
    }

    private void listPages() {
        mustList = false;
        usesRecoveryWatch = hasFailed || position.revision() > 0;
        listPage("");
    }

    private void listPage(String after) {
        plan.source().list(after, listing.mayBeStale(after), this::onPage);
    }

    private void onPage(StoreResult<StorePage<T>> result) {
        if (isStopped) {
            return;
        }
        if (!(result instanceof StoreResult.Done<StorePage<T>> done)) {
            retry(describe(result), this::list);
            return;
        }
        StorePage<T> page = done.value();
        if (!listing.add(page)) {
            list();
        } else if (page.hasMore()) {
            listPage(page.lastName());
        } else if (listing.isStale()) {
            plan.source().readChanges(listing.position(), this::onCaughtUp);
        } else {
            onListed();
        }
    }

    private void onCaughtUp(StoreResult<StoreChanges<T>> result) {
        if (isStopped) {
            return;
        }
        switch (result) {
            case StoreResult.Done<StoreChanges<T>> d when listing.catchUp(d.value()) -> onListed();
            case StoreResult.Done<StoreChanges<T>> d -> listCurrentPages();
            case StoreResult.HistoryGone<StoreChanges<T>> g -> listCurrentPages();
            default -> retry(describe(result), this::list);
        }
    }

    private void onListed() {
        StorePosition newPosition = listing.position();
        Map<String, StoredObject<T>> listed = listing.objects();
        boolean isRestored = position.revision() > 0 && !newPosition.isSameEpoch(position);
        if (hasFailed || isRestored || position.revision() == 0) {
            reachableSinceMicros = timers.nowMicros();
        }
        position = newPosition;
        boolean hadOutage = hasFailed;
        onSuccess();
        if (isRestored) {
            listener.onRestored();
        }
        listing = new PagedList<>(false);
        listener.onListed(listed, hadOutage);
        changeLog.reset(listed, position, timers.nowMicros());
        watch();
    }

    private void watch() {
        if (isStopped) {
            return;
        }
        if (mustList) {
            list();
        } else {
            watchId++;
            long current = watchId;
            isWatching = true;
            currentPacing = plan.pacing().get();
            int waitMillis = usesRecoveryWatch ? RECOVERY_WATCH_MILLIS : currentPacing.waitMillis();
            usesRecoveryWatch = false;
            plan.source().watch(position, waitMillis, r -> {
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
            list();
        }
    }

    /**
     * Lists again if the store has been restored from a copy since this watcher last heard of it.
     *
     * @param epoch epoch that any answer of the store has shown
     */
    public void onEpoch(long epoch) {
        if (position.revision() > 0 && epoch > position.epoch()) {
            listAgain();
        }
    }

    /** Lists again at once, or after the current delay between two watches. */
    public void listAgain() {
        mustList = true;
        relist();
    }

    /** Begins the current watch anew if its pacing has changed since. */
    public void renewWatch() {
        if (isWatching && plan.pacing().get() != currentPacing) {
            watch();
        }
    }

    private void onWatchResult(StoreResult<StoreChanges<T>> result) {
        if (isStopped) {
            return;
        }
        switch (result) {
            case StoreResult.Done<StoreChanges<T>> d -> onChanges(d.value());
            case StoreResult.HistoryGone<StoreChanges<T>> g -> list();
            default -> retry(describe(result), this::list);
        }
    }

    private void onChanges(StoreChanges<T> changes) {
        if (!changes.position().isSameEpoch(position)) {
            list();
            return;
        }
        position = position.max(changes.position());
        onSuccess();
        if (plan.pacing().get().isRelay()) {
            changeLog.append(changes, timers.nowMicros());
        } else {
            changeLog.applyWithoutHistory(changes, timers.nowMicros());
        }
        if (changes.changes().isEmpty()) {
            timers.after(WATCH_DELAY_MICROS, this::watch);
            return;
        }
        listener.onChanged(new ArrayList<>(changes.changes()));
        timers.after(currentPacing.batchDelayMicros(), this::watch);
    }

    private void onSuccess() {
        backoff.reset();
        if (hasFailed) {
            hasFailed = false;
            listener.onReachabilityChanged(true, kind);
        }
    }

    private void retry(String detail, Runnable task) {
        if (!hasFailed) {
            hasFailed = true;
            listener.onReachabilityChanged(false, kind + ' ' + detail);
        }
        changeLog.invalidate();
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
