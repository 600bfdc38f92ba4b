package org.hyssophitch.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.store.ChangeSource;
import org.hyssophitch.core.store.RelaySelector;
import org.hyssophitch.core.store.RelayedView;
import org.hyssophitch.core.store.StoreChanges;
import org.hyssophitch.core.store.StoreContact;
import org.hyssophitch.core.store.StorePage;
import org.hyssophitch.core.store.StorePosition;
import org.hyssophitch.core.store.StoreResult;
import org.hyssophitch.core.store.ViewLease;
import org.hyssophitch.core.store.WatchPacing;
import org.hyssophitch.wire.codec.RelayCodec;
import org.hyssophitch.wire.codec.RelayedEvacuationCodec;
import org.hyssophitch.wire.codec.RelayedViewCodec;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.FreePorts;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests watches of two kinds through one relay. */
public class RelayedSourceTest {

    private static final int MEMBERS = 20;
    private static final int WAIT_MILLIS = 6_000;
    private static final int MAX_MILLIS = 2_000;
    /** Time in milliseconds within which a change is to be in force, less the time to read and apply it. */
    private static final long BOUND_MILLIS = 1_700;

    private static final long QUIET_MILLIS = 6_000;
    /** Time in milliseconds between two proofs of a relay. */
    private static final int PROOF_MILLIS = 1_000;

    private static final StorePosition SINCE = new StorePosition(1, 10);
    private static final RelayCodec<String> CODEC = new RelayedEvacuationCodec();

    private final AtomicInteger serverWatches = new AtomicInteger();
    private final AtomicInteger configWatches = new AtomicInteger();
    private EventLoopGroup group;
    private RelaySelector selector;
    private HttpEndpoint relay;
    private volatile int failureStatus;
    private volatile Relay relayState;
    /** Kinds that were watched at the store. */
    private final Set<String> watched = ConcurrentHashMap.newKeySet();

    private volatile boolean isStoreAnswering;

    @BeforeMethod
    void start() {
        group = EventLoops.create(1);
        int port = FreePorts.one();
        relay = new HttpEndpoint(group, new InetSocketAddress("127.0.0.1", port), this::answer);
        List<Member> members = IntStream.range(0, MEMBERS)
                .mapToObj(i -> new Member(
                        "host-" + i, 1, 0, MemberState.ALIVE, "z1", "127.0.0.1:" + port, "127.0.0.1:1", 1, true, 0, 1))
                .toList();
        selector = members.stream()
                .map(m -> new RelaySelector(m.host(), "z1", () -> members))
                .filter(s -> s.pacing(0) == WatchPacing.RELAYED)
                .findFirst()
                .orElseThrow();
        serverWatches.set(0);
        configWatches.set(0);
        watched.clear();
        isStoreAnswering = false;
        failureStatus = 0;
        relayState = null;
    }

    @AfterMethod
    void stop() {
        relay.close();
        EventLoops.close(group);
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {{503, StoreResult.HistoryGone.class}, {421, StoreResult.Done.class}};
    }

    /** Guards against a watch that waits on at a relay which has lost the store, as the watch of another kind knows. */
    @Test(dataProvider = "failures")
    public void watchesOfAllKindsLeaveARelayThatHasLostTheStore(int status, Class<?> expected) throws Exception {
        failureStatus = status;
        EventLoop loop = (EventLoop) group.next();
        RelayWatches watches = new RelayWatches(k -> {});
        RelayedSource<String> servers = source("servers", loop, watches);
        RelayedSource<String> config = source("config", loop, watches);
        CompletableFuture<StoreResult<StoreChanges<String>>> changes = new CompletableFuture<>();
        EventLoops.run(loop, () -> {
            config.watch(SINCE, WAIT_MILLIS, changes::complete);
            servers.watch(SINCE, WAIT_MILLIS, r -> {});
        });
        StoreResult<StoreChanges<String>> result = changes.get(MAX_MILLIS, TimeUnit.MILLISECONDS);
        assertTrue(expected.isInstance(result), result.toString());
    }

    private RelayedSource<String> source(String kind, EventLoop loop, RelayWatches watches) {
        EventLoopTimers timers = new EventLoopTimers(loop);
        ViewLease lease = new ViewLease(new SplittableRandom(1));
        lease.renew(timers.nowMicros());
        RelayCaller caller = new RelayCaller(selector, new RelayClients(loop), timers);
        RelayedSource.Shared shared = new RelayedSource.Shared(selector, new StoreContact(), caller, watches, timers);
        RelayedSource<String> source = new RelayedSource<>(kind, new EmptyStore(kind), CODEC, lease, shared);
        watches.add(kind, source);
        return source;
    }

    @DataProvider
    Object[][] outdatedRelays() {
        return new Object[][] {
            {Relay.FROZEN, List.of("servers", "config")},
            {Relay.OUTDATED, List.of("servers", "config")},
            {Relay.BEHIND, List.of("config")}
        };
    }

    /** Hosts applied a change 2.0 to 3.6 s late while all relays were frozen, or while they answered with old views. */
    @Test(dataProvider = "outdatedRelays")
    public void changeReachesAHostInTimeWhateverItsRelaysDo(Relay state, List<String> affected) throws Exception {
        relayState = state;
        isStoreAnswering = true;
        long millis = millisUntilAsked(affected, BOUND_MILLIS);
        assertTrue(millis < BOUND_MILLIS, "the store was asked after " + millis + " ms");
    }

    @DataProvider
    Object[][] currentRelays() {
        return new Object[][] {{Relay.CURRENT}, {Relay.EARLIER_BUILD}};
    }

    /** A relay that proves its views each second, or one of the earlier build, spares the store all calls. */
    @Test(dataProvider = "currentRelays")
    public void storeIsNotAskedWhileTheRelayIsCurrent(Relay state) throws Exception {
        relayState = state;
        isStoreAnswering = true;
        assertEquals(millisUntilAsked(List.of("config", "servers"), QUIET_MILLIS), QUIET_MILLIS);
        assertEquals(watched, Set.of());
    }

    /** Returns the time in milliseconds until the kinds are read at the store, or the given bound. */
    private long millisUntilAsked(List<String> asked, long boundMillis) throws InterruptedException {
        EventLoop loop = (EventLoop) group.next();
        RelayWatches watches = new RelayWatches(k -> {});
        RelayedSource<String> servers = source("servers", loop, watches);
        RelayedSource<String> config = source("config", loop, watches);
        EventLoops.run(loop, () -> {
            watchAgain(servers, WatchPacing.RELAYED);
            watchAgain(config, WatchPacing.RELAYED_RARE);
        });
        long start = System.nanoTime();
        long passed = 0;
        while (!watched.containsAll(asked) && passed < boundMillis) {
            Thread.sleep(5);
            passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        }
        return Math.min(passed, boundMillis);
    }

    private static void watchAgain(RelayedSource<String> source, WatchPacing pacing) {
        source.watch(SINCE, pacing.waitMillis(), r -> watchAgain(source, pacing));
    }

    /** Answers of a relay in a state, a second after the request or at the end of its wait. */
    private CompletionStage<HttpReply> answerBy(Relay state, HttpQuery q) {
        RelayRequest.Changes request = (RelayRequest.Changes) RelayRequest.of(q);
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        byte[] none = CODEC.encodeChanges(new StoreChanges<>(List.of(), SINCE));
        long completeMillis = state == Relay.OUTDATED ? 0 : PROOF_MILLIS;
        StorePosition configPosition = new StorePosition(1, state == Relay.BEHIND ? 11 : 10);
        List<RelayedView> views = List.of(
                new RelayedView("servers", SINCE, completeMillis),
                new RelayedView("config", configPosition, completeMillis));
        byte[] body = state == Relay.EARLIER_BUILD ? none : RelayedViewCodec.append(none, views);
        if (state != Relay.FROZEN) {
            int delayMillis = request.kind().equals("config") ? request.waitMillis() : PROOF_MILLIS;
            group.schedule(() -> reply.complete(HttpReply.binary(200, "x", body)), delayMillis, TimeUnit.MILLISECONDS);
        }
        return reply;
    }

    /** Fails the first watch of servers. Lets the first watch of the configuration wait, and answers the next one. */
    private CompletionStage<HttpReply> answer(HttpQuery q) {
        if (relayState != null) {
            return answerBy(relayState, q);
        }
        boolean isConfig = q.path().contains("config");
        boolean isFirst = (isConfig ? configWatches : serverWatches).getAndIncrement() == 0;
        if (isConfig == isFirst) {
            return new CompletableFuture<>();
        }
        HttpReply reply = isConfig
                ? HttpReply.binary(200, "x", CODEC.encodeChanges(new StoreChanges<>(List.of(), SINCE)))
                : HttpReply.empty(failureStatus);
        return CompletableFuture.completedFuture(reply);
    }

    /** What a relay does. */
    private enum Relay {
        /** Never answers. */
        FROZEN,
        /** Answers each second, with a view as old as the request. */
        OUTDATED,
        /** Proves all its views, but one of them contains a change that it hasn't passed on. */
        BEHIND,
        /** Proves each second that its views are current. */
        CURRENT,
        /** Answers each second without saying how current its views are. */
        EARLIER_BUILD
    }

    /** A store without objects of a kind, which answers no lists, and watches at the end of their wait or never. */
    private final class EmptyStore implements ChangeSource<String> {

        private final String kind;

        private EmptyStore(String kind) {
            this.kind = kind;
        }

        @Override
        public void list(String after, boolean allowStale, Consumer<StoreResult<StorePage<String>>> onResult) {
            // Never answers.
        }

        @Override
        public void watch(StorePosition since, int waitMillis, Consumer<StoreResult<StoreChanges<String>>> onResult) {
            watched.add(kind);
            if (isStoreAnswering) {
                StoreResult<StoreChanges<String>> none = new StoreResult.Done<>(new StoreChanges<>(List.of(), since));
                group.next().schedule(() -> onResult.accept(none), waitMillis, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void readChanges(StorePosition since, Consumer<StoreResult<StoreChanges<String>>> onResult) {
            // Never answers.
        }
    }
}
