package org.hyssophitch.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.hyssophitch.core.store.StoreChanges.Change;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Listing and watching a kind of objects, in virtual time. */
public class KindWatcherTest {

    private static final long SECOND = 1_000_000;

    private final ObjectKind<String> kind = new ObjectKind<>() {
        @Override
        public String name() {
            return "things";
        }

        @Override
        public String decode(String objectName, byte[] value) {
            return new String(value);
        }

        @Override
        public byte[] encode(String value) {
            return value.getBytes();
        }
    };
    private VirtualTimers timers;
    private ScriptedStore store;
    private List<String> notifications;
    private KindWatcher<String> watcher;
    private WatchPacing pacing;

    @BeforeMethod
    public void setUp() {
        timers = new VirtualTimers();
        store = new ScriptedStore();
        notifications = new ArrayList<>();
        pacing = WatchPacing.ALONE;
        WatchPlan<String> plan = new WatchPlan<>(ChangeSource.of(store, kind), () -> pacing);
        watcher = new KindWatcher<>(kind.name(), timers, plan, new SplittableRandom(1), new KindWatcher.Listener<>() {
            @Override
            public void onListed(Map<String, StoredObject<String>> objects, boolean hadOutage) {
                notifications.add("listed " + objects.size() + (hadOutage ? " after outage" : ""));
            }

            @Override
            public void onRestored() {
                notifications.add("restored");
            }

            @Override
            public void onChanged(List<Change<String>> changes) {
                notifications.add("changed " + changes.size());
            }

            @Override
            public void onReachabilityChanged(boolean isReachable, String detail) {
                notifications.add(isReachable ? "reachable" : "unreachable");
            }

            @Override
            public void onWatchFailed(WatchFailure failure) {
                notifications.add("failed " + failure.cause());
            }
        });
        watcher.start();
    }

    @Test
    public void listsAllPagesAndWatchesFromTheirRevision() {
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        assertEquals(store.lastAfter, "b");
        store.completeList(new StoreResult.Done<>(page(false, "c")));
        assertEquals(notifications, List.of("listed 3"));
        assertEquals(store.watchedRevision, 7);
        store.completeWatch(new StoreResult.Done<>(new StoreChanges<>(List.of(change("d")), at(9))));
        assertEquals(notifications, List.of("listed 3", "changed 1"));
        timers.advance(SECOND);
        assertEquals(store.watchedRevision, 9);
    }

    /** A current page costs ten times as much, and each host of a fleet reads all pages at its start. */
    @Test
    public void listReadsOnlyItsFirstPageAtFullPrice() {
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        store.completeList(new StoreResult.Done<>(page(true, "c", "d")));
        store.completeList(new StoreResult.Done<>(page(false, "e")));
        assertEquals(store.currentLists, 1);
        assertEquals(store.listCalls, 3);
        assertEquals(notifications, List.of("listed 5"));
    }

    /** A server that started to drain after a stale page was true must not be listed as ready. */
    @Test
    public void listWithAStalePageIsDeliveredOnlyWithTheChangesSince() {
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        store.completeList(new StoreResult.Done<>(pageAt(5, false, "c", "d")));
        assertEquals(notifications, List.of());
        assertEquals(store.watchedRevision, 5);
        Change<String> deletion = new Change<>(new StoredObject<>("d", 6, Optional.of("d")), true);
        store.completeWatch(new StoreResult.Done<>(new StoreChanges<>(List.of(deletion), at(8))));
        assertEquals(notifications, List.of("listed 3"));
        assertEquals(store.watchedRevision, 8);
    }

    /** A store that answers the changes from a view that is older than the first page would leave a gap. */
    @Test(dataProvider = "incompleteChanges")
    public void listsCurrentPagesIfTheChangesSinceAStalePageAreIncomplete(StoreResult<StoreChanges<String>> result) {
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        store.completeList(new StoreResult.Done<>(pageAt(5, false, "c")));
        store.completeWatch(result);
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        store.completeList(new StoreResult.Done<>(page(false, "c")));
        assertEquals(store.currentLists, 3);
        assertEquals(notifications, List.of("listed 3"));
    }

    @DataProvider
    public Object[][] incompleteChanges() {
        return new Object[][] {
            {new StoreResult.HistoryGone<>()},
            {new StoreResult.Done<>(new StoreChanges<>(List.of(), at(6)))},
            {new StoreResult.Done<>(new StoreChanges<>(List.of(), new StorePosition(2, 9)))},
        };
    }

    @Test
    public void listsAgainWhenTheHistoryIsGone() {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        store.completeWatch(new StoreResult.HistoryGone<>());
        assertEquals(store.lists.size(), 1);
        store.completeList(new StoreResult.Done<>(page(false, "a", "b")));
        assertEquals(notifications, List.of("listed 1", "listed 2"));
    }

    /** A store that has gone silent is noticed only when the watch times out. */
    @Test
    public void hostSaysThatItReachesAStoreThatHasNotAnsweredLately() {
        assertEquals(watcher.reachableSinceMicros(), OptionalLong.empty());
        timers.advance(SECOND);
        long listed = timers.nowMicros();
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        timers.advance(SECOND);
        assertEquals(watcher.reachableSinceMicros(), OptionalLong.of(listed));
        timers.advance(2 * SECOND);
        assertEquals(watcher.reachableSinceMicros(), OptionalLong.empty());
        store.completeWatch(new StoreResult.Done<>(new StoreChanges<>(List.of(change("d")), at(9))));
        assertEquals(watcher.reachableSinceMicros(), OptionalLong.of(listed));
    }

    @Test(dataProvider = "failures")
    public void storeIsReachableSinceTheLastFailure(StoreResult<StoreChanges<String>> failure) {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        store.completeWatch(failure);
        assertEquals(watcher.reachableSinceMicros(), OptionalLong.empty());
        timers.advance(2 * SECOND);
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        assertEquals(watcher.reachableSinceMicros(), OptionalLong.of(timers.nowMicros()));
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {
            {new StoreResult.Refused<StoreChanges<String>>(503)},
            {new StoreResult.Refused<StoreChanges<String>>(429)},
            {new StoreResult.MayBeDone<StoreChanges<String>>(StoreResult.Cause.CONNECTION_LOST)},
            {new StoreResult.MayBeDone<StoreChanges<String>>(StoreResult.Cause.TIMED_OUT)},
        };
    }

    /**
     * A watch that begins while the store drops its history is not notified of changes before it times out, so the
     * first watch after a failure must be short.
     */
    @Test(dataProvider = "failures")
    public void listsAgainAfterFailedWatchAndShortensTheNextOne(StoreResult<StoreChanges<String>> failure) {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        int usualWaitMillis = store.waitMillis;
        store.completeWatch(failure);
        timers.advance(2 * SECOND);
        assertEquals(store.lists.size(), 1);
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        assertEquals(notifications, List.of("listed 1", "unreachable", "reachable", "listed 1 after outage"));
        assertTrue(store.waitMillis < usualWaitMillis, "waits " + store.waitMillis);
    }

    @Test
    public void ignoresResultOfAbandonedWatch() {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        watcher.relist();
        store.completeWatch(new StoreResult.Done<>(new StoreChanges<>(List.of(change("late")), at(8))));
        assertEquals(notifications, List.of("listed 1"));
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        assertEquals(store.watches.size(), 1);
    }

    @Test
    public void retriesFailedListWithBackoff() {
        for (int i = 0; i < 12; i++) {
            store.completeList(new StoreResult.Refused<>(503));
            timers.advance(2 * SECOND);
        }
        assertEquals(store.listCalls, 13);
        assertEquals(notifications, List.of("unreachable"));
    }

    /** An object of the first page may change while the second is read; the list doesn't show it, so the watch must. */
    @Test
    public void watchesFromThePositionOfTheFirstPage() {
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        StorePage<String> second = page(false, "c");
        store.completeList(new StoreResult.Done<>(new StorePage<>(second.items(), false, "c", at(8))));
        assertEquals(store.watchedRevision, 7);
    }

    /** Revisions that a restored store issues again belong to other content, so nothing after them may be applied. */
    @Test
    public void listsAgainWhenAWatchIsAnsweredInAnotherEpoch() {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        store.completeWatch(new StoreResult.Done<>(new StoreChanges<>(List.of(change("d")), new StorePosition(2, 9))));
        assertEquals(notifications, List.of("listed 1"));
        store.completeList(new StoreResult.Done<>(restoredPage(false, "a", "d")));
        assertEquals(notifications, List.of("listed 1", "restored", "listed 2"));
        assertEquals(store.watchedRevision, 6);
    }

    /** The watch itself may stay silent for seconds: the store has reached its revision again. */
    @Test
    public void listsAgainWhenAnotherAnswerShowsALaterEpoch() {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        watcher.onEpoch(1);
        assertEquals(store.lists.size(), 0);
        watcher.onEpoch(2);
        assertEquals(store.lists.size(), 1);
        store.completeList(new StoreResult.Done<>(restoredPage(false, "b")));
        assertEquals(notifications, List.of("listed 1", "restored", "listed 1"));
    }

    @Test
    public void listsInPlaceOfTheNextWatchWhenALaterEpochIsShownBetweenWatches() {
        store.completeList(new StoreResult.Done<>(page(false, "a")));
        store.completeWatch(new StoreResult.Done<>(new StoreChanges<>(List.of(change("d")), at(9))));
        watcher.onEpoch(2);
        assertEquals(store.lists.size(), 0);
        timers.advance(SECOND);
        assertEquals(store.lists.size(), 1);
        assertEquals(store.watches.size(), 0);
    }

    @Test
    public void startsAListAgainWhoseStoreIsRestoredBetweenTwoPages() {
        store.completeList(new StoreResult.Done<>(page(true, "a", "b")));
        store.completeList(new StoreResult.Done<>(restoredPage(false, "c")));
        assertEquals(notifications, List.of());
        assertEquals(store.lastAfter, "");
        store.completeList(new StoreResult.Done<>(restoredPage(false, "a")));
        assertEquals(notifications, List.of("listed 1"));
    }

    private static StorePage<String> page(boolean hasMore, String... names) {
        return pageAt(7, hasMore, names);
    }

    private static StorePage<String> pageAt(long revision, boolean hasMore, String... names) {
        List<StoredObject<String>> items = List.of(names).stream()
                .map(n -> new StoredObject<>(n, 1, Optional.of(n)))
                .toList();
        return new StorePage<>(items, hasMore, names[names.length - 1], at(revision));
    }

    private static StorePage<String> restoredPage(boolean hasMore, String... names) {
        StorePage<String> page = page(hasMore, names);
        return new StorePage<>(page.items(), hasMore, page.lastName(), new StorePosition(2, 6));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    private static Change<String> change(String name) {
        return new Change<>(new StoredObject<>(name, 8, Optional.of(name)), false);
    }

    /** Store that returns the results given by the test. */
    private static final class ScriptedStore implements ObjectStore {
        private final Deque<Consumer<StoreResult<StorePage<String>>>> lists = new ArrayDeque<>();
        private final Deque<Consumer<StoreResult<StoreChanges<String>>>> watches = new ArrayDeque<>();
        private String lastAfter = "";
        private long watchedRevision;
        private int waitMillis;
        private int listCalls;
        private int currentLists;

        private void completeList(StoreResult<StorePage<String>> result) {
            lists.poll().accept(result);
        }

        private void completeWatch(StoreResult<StoreChanges<String>> result) {
            watches.poll().accept(result);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(
                ObjectKind<T> kind, String after, boolean allowStale, Consumer<StoreResult<StorePage<T>>> onResult) {
            listCalls++;
            currentLists += allowStale ? 0 : 1;
            lastAfter = after;
            lists.add((Consumer<StoreResult<StorePage<String>>>) (Consumer<?>) onResult);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> void watch(
                ObjectKind<T> kind, StorePosition since, int wait, Consumer<StoreResult<StoreChanges<T>>> onResult) {
            watchedRevision = since.revision();
            waitMillis = wait;
            watches.add((Consumer<StoreResult<StoreChanges<String>>>) (Consumer<?>) onResult);
        }

        @Override
        public <T> void create(
                ObjectKind<T> kind, String name, T value, Consumer<StoreResult<StoredObject<T>>> onResult) {
            throw new UnsupportedOperationException("a watcher is read-only");
        }

        @Override
        public <T> void replace(
                ObjectKind<T> kind,
                String name,
                T value,
                long revision,
                Consumer<StoreResult<StoredObject<T>>> onResult) {
            throw new UnsupportedOperationException("a watcher is read-only");
        }

        @Override
        public <T> void delete(
                ObjectKind<T> kind, String name, long revision, Consumer<StoreResult<Boolean>> onResult) {
            throw new UnsupportedOperationException("a watcher is read-only");
        }
    }
}
