package org.hyssophitch.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** A watch goes on after each failure inside this host, in virtual time. */
public class KindWatcherFailureTest {

    private static final long SECOND = 1_000_000;
    /** Time in microseconds within which a watch that gets no result lists again. */
    private static final long MAX_SILENCE_MICROS = 9 * SECOND;

    private VirtualTimers timers;
    private ScriptedSource source;
    private FailingListener listener;
    private KindWatcher<String> watcher;

    @BeforeMethod
    public void setUp() {
        timers = new VirtualTimers();
        source = new ScriptedSource();
        listener = new FailingListener();
        WatchPlan<String> plan = new WatchPlan<>(source, () -> WatchPacing.RELAY);
        watcher = new KindWatcher<>("things", timers, plan, new SplittableRandom(1), listener);
        watcher.start();
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {
            {(Supplier<Throwable>) () -> new IllegalStateException("simulated")},
            {(Supplier<Throwable>) () -> new OutOfMemoryError("simulated")},
            {(Supplier<Throwable>) () -> new StackOverflowError("simulated")},
        };
    }

    /** An exception while a change was handled ended the watch without a line in the log. */
    @Test(dataProvider = "failures")
    public void listsAgainAfterAChangeWhoseHandlingThrows(Supplier<Throwable> failure) {
        source.completeList(1, "a");
        listener.failure = Optional.of(failure);
        source.completeWatch(2, "a", "b");
        assertEquals(listener.failures.size(), 1);
        assertEquals(listener.failures.getFirst().kind(), "things");
        listener.failure = Optional.empty();
        timers.advance(SECOND);
        source.completeList(2, "a");
        assertEquals(listener.listed, 2);
        assertEquals(source.pendingWatches(), 1);
    }

    @Test(dataProvider = "failures")
    public void listsAgainAfterAListWhoseHandlingThrows(Supplier<Throwable> failure) {
        listener.failure = Optional.of(failure);
        source.completeList(1, "a");
        listener.failure = Optional.empty();
        timers.advance(SECOND);
        source.completeList(1, "a");
        assertEquals(listener.listed, 1);
        assertEquals(source.pendingWatches(), 1);
    }

    /** Hosts that serve others must not hand on a log that may lack the change whose handling failed. */
    @Test
    public void historyIsNotConfirmedAfterAFailure() {
        source.completeList(1, "a");
        listener.failure = Optional.of(() -> new OutOfMemoryError("simulated"));
        source.completeWatch(2, "a", "b");
        assertTrue(!watcher.changeLog().isConfirmed());
    }

    /** An object whose handling always fails must not cost a list every few milliseconds. */
    @Test
    public void listsLessOftenWhileTheFailureLasts() {
        listener.failure = Optional.of(() -> new IllegalStateException("simulated"));
        for (int i = 0; i < 600; i++) {
            if (source.listCalls() > listener.failures.size()) {
                source.completeList(1, "a");
            }
            timers.advance(SECOND / 10);
        }
        assertTrue(source.listCalls() > 6 && source.listCalls() < 40, source.listCalls() + " lists in 60 s");
    }

    /** A watch whose result is lost inside this host hung for good while the host counted as ready. */
    @Test
    public void listsAgainWhenAWatchIsNeverAnswered() {
        source.completeList(1, "a");
        source.loseWatch();
        checkFor(MAX_SILENCE_MICROS);
        assertEquals(listener.failures.getFirst().cause(), "overdue");
        assertEquals(listener.failures.getFirst().step(), "watch");
        source.completeList(2, "a");
        assertEquals(listener.listed, 2);
    }

    /** A host that lists again does nothing while a list is under way, so that list must not hang either. */
    @Test
    public void listsAgainWhenAListIsNeverAnswered() {
        source.loseList();
        watcher.relist();
        watcher.listAgain();
        assertEquals(source.listCalls(), 1);
        checkFor(MAX_SILENCE_MICROS);
        assertEquals(listener.failures.getFirst().step(), "list");
        source.completeList(2, "a");
        assertEquals(listener.listed, 1);
    }

    /** What asks for a new list during a list must not be forgotten. */
    @Test
    public void listsOnceMoreWhenAskedToDuringAList() {
        watcher.listAgain();
        source.completeList(1, "a");
        assertEquals(source.listCalls(), 2);
    }

    /** The result of a step that was given up must not be handled beside the new list. */
    @Test
    public void ignoresAResultThatComesAfterItsDeadline() {
        checkFor(MAX_SILENCE_MICROS);
        source.completeList(1, "late");
        assertEquals(listener.listed, 0);
        source.completeList(2, "a");
        assertEquals(listener.listed, 1);
    }

    /** A watch that waits as long as it may is no failure. */
    @Test
    public void doesNotCountAQuietStoreAsFailure() {
        source.completeList(1, "a");
        long wait = WatchPacing.RELAY.waitMillis() * 1_000L;
        for (int i = 2; i < 40; i++) {
            checkFor(wait);
            source.completeWatch(i, "a", "a");
        }
        assertEquals(listener.failures, List.of());
        assertEquals(source.listCalls(), 1);
    }

    @Test
    public void tellsHowLongAgoItHeardOfTheStore() {
        source.completeList(1, "a");
        timers.advance(3 * SECOND);
        assertEquals(watcher.silentMicros(), 3 * SECOND);
        listener.failure = Optional.of(() -> new IllegalStateException("simulated"));
        source.completeWatch(2, "a", "b");
        assertEquals(watcher.silentMicros(), 3 * SECOND);
    }

    private void checkFor(long micros) {
        for (long t = 0; t < micros; t += SECOND) {
            timers.advance(SECOND);
            watcher.checkProgress();
        }
    }

    private static final class FailingListener implements KindWatcher.Listener<String> {

        private final List<WatchFailure> failures = new ArrayList<>();
        private Optional<Supplier<Throwable>> failure = Optional.empty();
        private int listed;

        @Override
        public void onListed(Map<String, StoredObject<String>> objects, boolean hadOutage) {
            failIfAsked();
            listed++;
        }

        @Override
        public void onRestored() {
            // The store is never restored.
        }

        @Override
        public void onChanged(List<StoreChanges.Change<String>> changes) {
            failIfAsked();
        }

        @Override
        public void onReachabilityChanged(boolean isReachable, String detail) {
            // Not of interest here.
        }

        @Override
        public void onWatchFailed(WatchFailure f) {
            failures.add(f);
        }

        private void failIfAsked() {
            Throwable t = failure.map(Supplier::get).orElse(null);
            if (t instanceof Error e) {
                throw e;
            }
            if (t instanceof RuntimeException e) {
                throw e;
            }
        }
    }
}
