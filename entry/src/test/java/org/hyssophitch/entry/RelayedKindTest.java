package org.hyssophitch.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.store.ChangeSource;
import org.hyssophitch.core.store.KindWatcher;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.core.store.Timers;
import org.hyssophitch.core.store.WatchFailure;
import org.hyssophitch.core.store.WatchPacing;
import org.hyssophitch.core.store.WatchPlan;
import org.hyssophitch.wire.codec.RelayedRegistrationCodec;
import org.hyssophitch.wire.codec.RelayedViewCodec;
import org.hyssophitch.wire.net.HttpReply;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** What a relay does when it can't answer another host. */
public class RelayedKindTest {

    /** A registration without a service, which no codec can encode. */
    private static final RegisteredServer UNENCODABLE = new RegisteredServer(null, null, 0);

    private final List<Object> handled = new ArrayList<>();
    private final OneWatch source = new OneWatch();

    /** The failure to answer one host kept the change from this host and all others. */
    @Test
    public void hostFollowsAChangeThatItCannotRelay() {
        Timers timers = new NoTimers();
        KindWatcher<RegisteredServer> watcher = new KindWatcher<>(
                "servers",
                timers,
                new WatchPlan<>(source, () -> WatchPacing.RELAY),
                new SplittableRandom(1),
                new Recording());
        RelayedKind<RegisteredServer> relayed =
                new RelayedKind<>(watcher, new RelayedRegistrationCodec(), () -> true, t -> List.of(), timers);
        watcher.start();
        CompletableFuture<HttpReply> reply = relayed.handle(
                        new RelayRequest.Changes("servers", new StorePosition(1, 1), 1_000))
                .toCompletableFuture();
        StoredObject<RegisteredServer> object = new StoredObject<>("i-1", 2, Optional.of(UNENCODABLE));
        StoreChanges.Change<RegisteredServer> change = new StoreChanges.Change<>(object, false);
        source.watch.accept(new StoreResult.Done<>(new StoreChanges<>(List.of(change), new StorePosition(1, 2))));
        assertEquals(handled, List.of("listed", List.of(change)));
        assertEquals(reply.join().status(), 503);
    }

    /** A host that waits for a change learns at once that there is none, and how current that is. */
    @Test
    public void hostThatWaitsIsAnsweredWhenTheStoreConfirmsThatNothingChanged() throws Exception {
        Timers timers = new NoTimers() {
            @Override
            public void after(long micros, Runnable task) {
                if (micros == 0) {
                    task.run();
                }
            }
        };
        KindWatcher<RegisteredServer> watcher = new KindWatcher<>(
                "servers",
                timers,
                new WatchPlan<>(source, () -> WatchPacing.RELAY),
                new SplittableRandom(1),
                new Recording());
        List<RelayedView> views = List.of(new RelayedView("servers", new StorePosition(1, 5), -3));
        RelayedKind<RegisteredServer> relayed =
                new RelayedKind<>(watcher, new RelayedRegistrationCodec(), () -> true, t -> views, timers);
        watcher.start();
        CompletableFuture<HttpReply> reply = relayed.handle(
                        new RelayRequest.Changes("servers", new StorePosition(1, 1), 1_000))
                .toCompletableFuture();
        source.watch.accept(new StoreResult.Done<>(new StoreChanges<>(List.of(), new StorePosition(1, 5))));
        assertEquals(reply.join().status(), 200);
        assertEquals(RelayedViewCodec.decode(reply.join().body()), views);
    }

    private static final class OneWatch implements ChangeSource<RegisteredServer> {

        private Consumer<StoreResult<StoreChanges<RegisteredServer>>> watch;

        @Override
        public void list(
                String after, boolean allowStale, Consumer<StoreResult<StorePage<RegisteredServer>>> onResult) {
            onResult.accept(new StoreResult.Done<>(new StorePage<>(List.of(), false, "", new StorePosition(1, 1))));
        }

        @Override
        public void watch(
                StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<RegisteredServer>>> onResult) {
            watch = onResult;
        }

        @Override
        public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<RegisteredServer>>> onResult) {
            throw new UnsupportedOperationException("the list has one page");
        }
    }

    /** Time stands still. */
    private static class NoTimers implements Timers {

        @Override
        public long nowMicros() {
            return 0;
        }

        @Override
        public void after(long micros, Runnable task) {
            // Nothing is due.
        }
    }

    private final class Recording implements KindWatcher.Listener<RegisteredServer> {

        @Override
        public void onListed(Map<String, StoredObject<RegisteredServer>> objects, boolean hadOutage) {
            handled.add("listed");
        }

        @Override
        public void onRestored() {
            handled.add("restored");
        }

        @Override
        public void onChanged(List<StoreChanges.Change<RegisteredServer>> changes) {
            handled.add(changes);
        }

        @Override
        public void onReachabilityChanged(boolean isReachable, String detail) {
            handled.add(isReachable);
        }

        @Override
        public void onWatchFailed(WatchFailure failure) {
            handled.add(failure);
        }
    }
}
