package org.hyssophitch.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.entry.ServerRegistry;
import org.hyssophitch.core.store.StoreChanges.Change;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Random histories of a store that is written, cut off and restored from copies, in virtual time: no drain is taken
 * back, no server that has left returns, and in the end every host knows exactly the live servers.
 *
 * <p>{@code -Dhistories=1000} plays more of them.
 */
public class RestoreHistoryTest {

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int STEPS = 300;
    private static final long STEP_MICROS = 100 * MILLI;
    private static final long HEARTBEAT_MICROS = 1_500 * MILLI;
    /** Time in microseconds after an undisturbed change within which every host must know it. */
    private static final long BOUND_MICROS = 2 * SECOND;
    /** Time in microseconds without disturbance before that bound holds. */
    private static final long STABLE_MICROS = 3 * SECOND;

    @DataProvider
    Object[][] seeds() {
        return LongStream.range(0, Long.getLong("histories", 60))
                .mapToObj(s -> new Object[] {s})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void hostsFollowTheServersThroughRestores(long seed) {
        History history = new History(seed);
        IntStream.range(0, STEPS).forEach(i -> history.step(true));
        IntStream.range(0, 80).forEach(i -> history.step(false));
        history.hosts.forEach(h -> assertEquals(h.ready(), history.readyServers(), "servers in the end, seed " + seed));
    }

    /** One process of a backend server. */
    private static final class Server {
        private final String id;
        private long sequence;
        private boolean isDraining;
        private boolean isGone;
        private long changedMicros;
        private long writtenMicros;
        private long leftMicros = Long.MAX_VALUE;

        private Server(String id) {
            this.id = id;
        }

        private RegisteredServer registration() {
            BackendServer s = new BackendServer(id, "10.0.0.1", 80, "z", 3, 220, isDraining, id);
            return new RegisteredServer("s", s, 0, sequence);
        }
    }

    /** A host that watches the registrations. */
    private static final class Host implements KindWatcher.Listener<RegisteredServer> {
        private final VirtualTimers timers;
        private final ServerRegistry registry = new ServerRegistry();
        private final KindWatcher<RegisteredServer> watcher;
        private final Set<String> used = new HashSet<>();
        /** Servers that this host used and has since learnt to be leaving or gone. */
        private final Set<String> knownToLeave = new HashSet<>();

        private Host(VirtualTimers timers, ModelStore store, WatchPacing pacing, SplittableRandom random) {
            this.timers = timers;
            WatchPlan<RegisteredServer> plan = new WatchPlan<>(store, () -> pacing);
            watcher = new KindWatcher<>("servers", timers, plan, random, this);
            store.observers.add(watcher::onEpoch);
            watcher.start();
        }

        @Override
        public void onListed(Map<String, StoredObject<RegisteredServer>> objects, boolean hadOutage) {
            registry.onListed(objects, timers.nowMicros());
            if (registry.awaitsProof()) {
                timers.after(ServerRegistry.RENEWAL_PERIOD_MICROS, watcher::listAgain);
            }
        }

        @Override
        public void onRestored() {
            registry.onStoreRestored(timers.nowMicros());
        }

        @Override
        public void onChanged(List<Change<RegisteredServer>> changes) {
            registry.onChanged(changes, timers.nowMicros());
        }

        @Override
        public void onReachabilityChanged(boolean isReachable, String detail) {
            if (isReachable) {
                registry.onStoreRecovered(timers.nowMicros());
                watcher.relist();
            }
        }

        @Override
        public void onWatchFailed(WatchFailure failure) {
            throw new AssertionError(failure.toString());
        }

        private boolean knowsDraining(String id) {
            return registry.byService().getOrDefault("s", List.of()).stream()
                    .anyMatch(r -> r.server().name().equals(id) && r.server().draining());
        }

        private List<String> ready() {
            registry.expire(timers.nowMicros());
            return registry.byService().getOrDefault("s", List.of()).stream()
                    .filter(r -> !r.server().draining())
                    .map(r -> r.server().name())
                    .sorted()
                    .toList();
        }
    }

    /** A store whose revisions, history and copies behave as the platform's. */
    private static final class ModelStore implements ChangeSource<RegisteredServer> {
        private record Event(long revision, Change<RegisteredServer> change) {}

        private record Copy(long revision, Map<String, RegisteredServer> objects, List<Event> events) {}

        private final VirtualTimers timers;
        private final List<Consumer<Long>> observers = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private TreeMap<String, RegisteredServer> objects = new TreeMap<>();
        private List<Event> events = new ArrayList<>();
        private long revision = 1;
        private long epoch = 1;
        private boolean isDown;

        private ModelStore(VirtualTimers timers) {
            this.timers = timers;
        }

        private void write(RegisteredServer r, boolean isStateChange) {
            String id = r.server().name();
            if (!isDown) {
                boolean isKnown = objects.containsKey(id);
                objects.put(id, r);
                if (isStateChange || !isKnown) {
                    publish(id, r, false);
                }
            }
        }

        private void delete(String id) {
            RegisteredServer r = objects.remove(id);
            if (r != null) {
                publish(id, r, true);
            }
        }

        private void publish(String id, RegisteredServer r, boolean isDeleted) {
            revision++;
            events.add(new Event(revision, new Change<>(new StoredObject<>(id, revision, Optional.of(r)), isDeleted)));
            List<Runnable> notified = List.copyOf(waiting);
            waiting.clear();
            notified.forEach(Runnable::run);
        }

        private Copy copy() {
            return new Copy(revision, new HashMap<>(objects), new ArrayList<>(events));
        }

        private void restore(Copy copy) {
            epoch++;
            revision = copy.revision();
            objects = new TreeMap<>(copy.objects());
            events = new ArrayList<>(copy.events());
            waiting.clear();
        }

        private StorePosition position() {
            return new StorePosition(epoch, revision);
        }

        private <V> void reply(StoreResult<V> result, Consumer<StoreResult<V>> onResult) {
            long shown = epoch;
            timers.after(4 * MILLI, () -> {
                observers.forEach(o -> o.accept(shown));
                onResult.accept(result);
            });
        }

        @Override
        public void list(
                String after, boolean allowStale, Consumer<StoreResult<StorePage<RegisteredServer>>> onResult) {
            if (isDown) {
                reply(new StoreResult.Refused<>(503), onResult);
                return;
            }
            List<StoredObject<RegisteredServer>> items = objects.entrySet().stream()
                    .map(e -> new StoredObject<>(e.getKey(), 0, Optional.of(e.getValue())))
                    .toList();
            reply(new StoreResult.Done<>(new StorePage<>(items, false, "", position())), onResult);
        }

        @Override
        public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<RegisteredServer>>> onResult) {
            throw new UnsupportedOperationException("no page of this store is stale");
        }

        @Override
        public void watch(
                StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<RegisteredServer>>> onResult) {
            if (isDown) {
                reply(new StoreResult.Refused<>(503), onResult);
                return;
            }
            if (since.revision() > revision) {
                reply(new StoreResult.HistoryGone<>(), onResult);
                return;
            }
            if (answer(since, onResult)) {
                return;
            }
            boolean[] isAnswered = {false};
            long startEpoch = epoch;
            waiting.add(() -> isAnswered[0] = isAnswered[0] || answer(since, onResult));
            timers.after(waitMillis * MILLI, () -> {
                if (!isAnswered[0]) {
                    isAnswered[0] = true;
                    reply(
                            epoch == startEpoch && !isDown
                                    ? new StoreResult.Done<>(new StoreChanges<>(List.of(), position()))
                                    : new StoreResult.MayBeDone<>(StoreResult.Cause.CONNECTION_LOST),
                            onResult);
                }
            });
        }

        private boolean answer(StorePosition since, Consumer<StoreResult<StoreChanges<RegisteredServer>>> onResult) {
            List<Change<RegisteredServer>> newer = events.stream()
                    .filter(e -> e.revision() > since.revision())
                    .map(Event::change)
                    .toList();
            if (!newer.isEmpty()) {
                reply(new StoreResult.Done<>(new StoreChanges<>(newer, position())), onResult);
            }
            return !newer.isEmpty();
        }
    }

    /** One random history. */
    private static final class History {
        private final long seed;
        private final SplittableRandom random;
        private final VirtualTimers timers = new VirtualTimers();
        private final ModelStore store = new ModelStore(timers);
        private final List<Server> servers = new ArrayList<>();
        private final List<Host> hosts = new ArrayList<>();
        private final List<ModelStore.Copy> copies = new ArrayList<>();
        private long disturbedMicros = -STABLE_MICROS;
        private int created;

        private History(long seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
            IntStream.range(0, 6).forEach(i -> create());
            hosts.add(new Host(timers, store, WatchPacing.ALONE, random.split()));
            hosts.add(new Host(timers, store, WatchPacing.RELAY, random.split()));
        }

        private void step(boolean isTroubled) {
            timers.advance(STEP_MICROS);
            copies.add(store.copy());
            if (isTroubled) {
                disturb();
            } else if (store.isDown) {
                setDown(false);
            }
            servers.forEach(this::heartbeat);
            servers.forEach(this::observe);
            hosts.forEach(this::check);
        }

        private void disturb() {
            int dice = random.nextInt(100);
            if (dice < 4) {
                create();
            } else if (dice < 9) {
                live().filter(s -> !s.isDraining).findAny().ifPresent(this::drain);
            } else if (dice < 13) {
                live().filter(s -> s.isDraining).findAny().ifPresent(this::end);
            } else if (dice < 15) {
                restore(1 + random.nextInt(50));
            } else if (dice < 17) {
                setDown(true);
            } else if (dice < 24 && store.isDown) {
                setDown(false);
            }
        }

        private void create() {
            Server s = new Server("i-" + created++);
            servers.add(s);
            say(s, true);
        }

        private void drain(Server s) {
            s.isDraining = true;
            s.changedMicros = timers.nowMicros();
            say(s, true);
        }

        private void end(Server s) {
            s.isGone = true;
            s.changedMicros = timers.nowMicros();
            if (!store.isDown) {
                store.delete(s.id);
            }
        }

        private void heartbeat(Server s) {
            boolean isDue = timers.nowMicros() - s.writtenMicros >= HEARTBEAT_MICROS;
            if (!s.isGone && isDue) {
                RegisteredServer stored = store.objects.get(s.id);
                say(s, stored == null || stored.server().draining() != s.isDraining);
            }
            boolean isLapsed = timers.nowMicros() - s.changedMicros > 3 * HEARTBEAT_MICROS;
            if (s.isGone && isLapsed && !store.isDown) {
                store.delete(s.id);
            }
        }

        private void say(Server s, boolean isStateChange) {
            s.sequence++;
            s.writtenMicros = timers.nowMicros();
            store.write(s.registration(), isStateChange);
        }

        private void restore(int stepsBack) {
            disturbedMicros = timers.nowMicros();
            store.restore(copies.get(Math.max(0, copies.size() - 1 - stepsBack)));
        }

        private void setDown(boolean value) {
            disturbedMicros = timers.nowMicros();
            store.isDown = value;
        }

        /** Records since when the store says that a server is leaving or gone. */
        private void observe(Server s) {
            RegisteredServer stored = store.objects.get(s.id);
            boolean hasLeft = stored == null || stored.server().draining();
            s.leftMicros = hasLeft ? Math.min(s.leftMicros, timers.nowMicros()) : Long.MAX_VALUE;
        }

        private void check(Host host) {
            boolean isStable = timers.nowMicros() - disturbedMicros >= STABLE_MICROS && !store.isDown;
            List<String> ready = host.ready();
            servers.stream().filter(s -> s.isDraining || s.isGone).forEach(s -> {
                boolean isUsed = ready.contains(s.id);
                String where = s.id + " is used at " + timers.nowMicros() + ", seed " + seed;
                assertTrue(!isUsed || !host.knownToLeave.contains(s.id), where + " though it was known to leave");
                boolean isDue = isStable && timers.nowMicros() - s.leftMicros >= BOUND_MICROS + STEP_MICROS;
                assertTrue(!isUsed || !isDue, where + " though the store says that it leaves");
                if (!isUsed && host.used.contains(s.id) && (s.isGone || host.knowsDraining(s.id))) {
                    host.knownToLeave.add(s.id);
                }
            });
            host.used.addAll(ready);
        }

        private Stream<Server> live() {
            return servers.stream().filter(s -> !s.isGone);
        }

        private List<String> readyServers() {
            return live().filter(s -> !s.isDraining).map(s -> s.id).sorted().toList();
        }
    }
}
