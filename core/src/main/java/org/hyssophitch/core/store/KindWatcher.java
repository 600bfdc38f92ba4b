package org.hyssophitch.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.retry.Backoff;
import org.hyssophitch.core.store.StepRunner.Step;

/**
 * Watches all objects of one kind: lists them once, then watches for changes, and lists again when the store no longer
 * holds the history, when a watch has failed, and when the store was restored from a copy.
 *
 * <p>Not thread-safe; owned by one thread from {@link #start} until {@link #stop}. A failed call is retried with
 * exponential backoff and jitter, so that hosts don't retry in step after an outage of the store.
 *
 * <p>Each step has a deadline. A step that throws, or whose result hasn't been handled at its deadline, doesn't end the
 * watch: the objects are listed again.
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

        /**
         * Called when a step of the watch has failed inside this host, before the objects are listed again.
         *
         * @param failure the kind, the step, its failure and the time since the store was last heard
         */
        void onWatchFailed(WatchFailure failure);
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
    private final StepRunner steps;
    private final ChangeLog<T> changeLog = new ChangeLog<>();
    private PagedList<T> listing = new PagedList<>(false);
    private StorePosition position = StorePosition.NONE;
    private WatchPacing currentPacing = WatchPacing.ALONE;
    private long watchBeganMicros;

    private boolean hasFailed;
    private long reachableSinceMicros;
    private long heardMicros;
    private boolean usesRecoveryWatch;
    private boolean mustList;

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
        this.steps = new StepRunner(timers, random, this::list, this::onStepFailed);
        this.heardMicros = timers.nowMicros();
    }

    /** Starts with the first list. */
    public void start() {
        steps.run(this::list);
    }

    /** Stops watching; results that arrive later are ignored. */
    public void stop() {
        steps.stop();
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

    /** Returns the time in microseconds since the host last took over what the store said about this kind. */
    public long silentMicros() {
        return timers.nowMicros() - heardMicros;
    }

    /** Lists again if the current step is overdue; called several times a second. */
    public void checkProgress() {
        steps.checkProgress();
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
        plan.source().list(after, listing.mayBeStale(after), steps.begin(Step.LIST, 0, this::onPage));
    }

    private void onPage(StoreResult<StorePage<T>> result) {
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
            plan.source().readChanges(listing.position(), steps.begin(Step.LIST, 0, this::onCaughtUp));
        } else {
            onListed();
        }
    }

    private void onCaughtUp(StoreResult<StoreChanges<T>> result) {
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
        onHandled();
        watch();
    }

    private void watch() {
        if (mustList) {
            list();
            return;
        }
        currentPacing = plan.pacing().get();
        int waitMillis = usesRecoveryWatch ? RECOVERY_WATCH_MILLIS : currentPacing.waitMillis();
        usesRecoveryWatch = false;
        watchBeganMicros = timers.nowMicros();
        plan.source()
                .watch(
                        position,
                        waitMillis,
                        steps.begin(Step.WATCH, waitMillis * MICROS_PER_MILLI, this::onWatchResult));
    }

    /**
     * Abandons the current watch and lists again. Called after the store was unreachable for other calls, as the
     * response to the watch may have been lost. A list under way goes on; it has a deadline of its own.
     */
    public void relist() {
        if (steps.step() == Step.WATCH) {
            steps.run(this::list);
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
        if (steps.step() == Step.WATCH && plan.pacing().get() != currentPacing) {
            steps.run(this::watch);
        }
    }

    private void onWatchResult(StoreResult<StoreChanges<T>> result) {
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
        if (!changes.changes().isEmpty()) {
            listener.onChanged(new ArrayList<>(changes.changes()));
        }
        onHandled();
        steps.pause(changes.changes().isEmpty() ? WATCH_DELAY_MICROS : batchDelayMicros(), this::watch);
    }

    /** Returns the delay before the next watch; a relay's counts from the last one, as its next proof is due soon. */
    private long batchDelayMicros() {
        long passedMicros = currentPacing.isRelay() ? timers.nowMicros() - watchBeganMicros : 0;
        return Math.max(WATCH_DELAY_MICROS, currentPacing.batchDelayMicros() - passedMicros);
    }

    private void onHandled() {
        heardMicros = timers.nowMicros();
        steps.onHandled();
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
        steps.pause(backoff.nextMillis() * MICROS_PER_MILLI, task);
    }

    private void onStepFailed(Step step, String cause) {
        changeLog.invalidate();
        listener.onWatchFailed(new WatchFailure(kind, StepRunner.logName(step), cause, silentMicros()));
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
