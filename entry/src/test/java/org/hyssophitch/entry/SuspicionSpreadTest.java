package org.hyssophitch.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.entry.EntryHost;
import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;
import org.hyssophitch.core.health.SuspectTracker.Verdict;
import org.hyssophitch.core.store.StoredObject;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.EventLoops;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** A request that crashes servers must be known on every entry host, whichever of them the caller tries next. */
public class SuspicionSpreadTest extends EntryProgramFixture {

    /** Time in milliseconds within which every reachable host must act on what one of them has found. */
    private static final long STABILITY_WINDOW_MILLIS = 3_000;

    private static final String FINGERPRINT = "h.example GET /x#0";
    private static final int CRASHES = 3;
    /** Requests that crashed servers before. */
    private static final int EARLIER_REQUESTS = 60;

    private final Map<String, SuspectTracker> trackers = new HashMap<>();
    private EventLoopGroup group;
    private EventLoop loop;

    @BeforeMethod
    public void createLoop() {
        trackers.clear();
        group = EventLoops.create(1);
        loop = (EventLoop) group.next();
    }

    @AfterMethod
    public void closeLoop() {
        EventLoops.close(group);
    }

    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{13}, {40}, {120}};
    }

    /** Three hosts see one crash each, so none of them can convict the request by what it has seen itself. */
    @Test(dataProvider = "fleetSizes")
    public void hostsKeepSendingARequestThatCrashedThreeServers(int fleetSize) throws InterruptedException {
        List<Peers> fleet =
                IntStream.range(0, fleetSize).mapToObj(i -> peers("host-" + i)).toList();
        start(fleet);

        IntStream.range(0, CRASHES).forEach(i -> EventLoops.run(loop, () -> reportCrash(fleet, i)));
        Thread.sleep(STABILITY_WINDOW_MILLIS);

        assertEquals(convictingHosts(), fleetSize, "hosts that refuse the request; others: " + otherHosts());
    }

    /** A host that starts after all datagrams about the crashes were sent. */
    @Test
    public void hostThatStartsLaterSendsARequestThatCrashedThreeServers() throws InterruptedException {
        List<Peers> fleet =
                IntStream.range(0, 40).mapToObj(i -> peers("host-" + i)).toList();
        start(fleet);
        IntStream.range(0, CRASHES).forEach(i -> EventLoops.run(loop, () -> reportCrash(fleet, i)));
        Thread.sleep(2 * STABILITY_WINDOW_MILLIS);

        List<Peers> later = List.of(peers("later-host"));
        List<Peers> all = Stream.concat(fleet.stream(), later.stream()).toList();
        join(later, all);
        Thread.sleep(STABILITY_WINDOW_MILLIS);

        assertEquals(convictingHosts(), all.size(), "hosts that refuse the request; others: " + otherHosts());
    }

    /** A host that starts after many other requests have crashed servers as well. */
    @Test
    public void hostThatStartsAfterManyCrashesSendsARequestThatCrashedThreeServers() throws InterruptedException {
        List<Peers> fleet =
                IntStream.range(0, 13).mapToObj(i -> peers("host-" + i)).toList();
        start(fleet);
        IntStream.range(0, CRASHES)
                .forEach(i -> EventLoops.run(loop, () -> {
                    IntStream.range(0, EARLIER_REQUESTS).forEach(r -> reportCrash(fleet, i, "earlier-" + r));
                    reportCrash(fleet, i, FINGERPRINT);
                }));
        Thread.sleep(4 * STABILITY_WINDOW_MILLIS);
        assertEquals(
                convictingHosts(),
                fleet.size(),
                "hosts that refuse the request before the last one starts; others: " + otherHosts());

        List<Peers> later = List.of(peers("later-host"));
        join(later, Stream.concat(fleet.stream(), later.stream()).toList());
        Thread.sleep(STABILITY_WINDOW_MILLIS);

        assertEquals(convictingHosts(), fleet.size() + 1, "hosts that refuse the request; others: " + otherHosts());
    }

    /** A host that started later refused a popular path for 600 s, although all others had found it to be harmless. */
    @Test
    public void hostThatStartsLaterSendsARequestThatTheOthersHaveCleared() throws InterruptedException {
        List<Peers> fleet =
                IntStream.range(0, 13).mapToObj(i -> peers("host-" + i)).toList();
        start(fleet);
        IntStream.range(0, CRASHES).forEach(i -> EventLoops.run(loop, () -> reportCrash(fleet, i)));
        Thread.sleep(STABILITY_WINDOW_MILLIS);
        EventLoops.run(loop, () -> {
            trackers.get("host-0").clear(FINGERPRINT);
            fleet.getFirst().shareClearance(new Clearance(FINGERPRINT, WallClock.nowMicros()));
        });
        Thread.sleep(STABILITY_WINDOW_MILLIS);
        assertEquals(convictingHosts(), 0, "hosts that refuse the request before the last one starts");

        List<Peers> later = List.of(peers("later-host"));
        join(later, Stream.concat(fleet.stream(), later.stream()).toList());
        Thread.sleep(2 * STABILITY_WINDOW_MILLIS);
        assertEquals(convictingHosts(), 0, "hosts that refuse the request");

        IntStream.range(0, CRASHES).forEach(i -> EventLoops.run(loop, () -> reportCrash(fleet, i)));
        Thread.sleep(STABILITY_WINDOW_MILLIS);
        assertEquals(convictingHosts(), fleet.size() + 1, "hosts that refuse it after further crashes");
    }

    private void reportCrash(List<Peers> fleet, int index) {
        reportCrash(fleet, index, FINGERPRINT);
    }

    private void reportCrash(List<Peers> fleet, int index, String fingerprint) {
        String host = "host-" + index;
        List<Suspicion> found =
                trackers.get(host).onCrash("server-" + index, Set.of(fingerprint), WallClock.nowMicros());
        fleet.get(index).shareSuspicions(found);
    }

    private int convictingHosts() {
        return trackers.size() - otherHosts().size();
    }

    /** Returns the hosts that send the request, and what they know of it. */
    private Map<String, Verdict> otherHosts() {
        return EventLoops.call(loop, () -> trackers.entrySet().stream()
                .map(t -> Map.entry(t.getKey(), t.getValue().verdict(FINGERPRINT, WallClock.nowMicros())))
                .filter(v -> v.getValue() != Verdict.CONVICTED)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
    }

    private void start(List<Peers> fleet) {
        join(fleet, fleet);
    }

    private void join(List<Peers> started, List<Peers> fleet) {
        started.forEach(p -> p.open(group));
        Map<String, StoredObject<EntryHost>> listed = fleet.stream()
                .map(Peers::self)
                .map(h -> new StoredObject<>(h.host(), 1, Optional.of(h)))
                .collect(Collectors.toMap(StoredObject::name, Function.identity()));
        EventLoops.run(
                loop,
                () -> fleet.forEach(p -> {
                    p.onListed(listed);
                    p.start();
                }));
    }

    private Peers peers(String host) {
        EntrySettings s = settings(host);
        SuspectTracker tracker = SuspectTracker.strict();
        trackers.put(host, tracker);
        return new Peers(
                s,
                WallClock.nowMicros(),
                loop,
                new SplittableRandom(host.hashCode()),
                (now, request, body) -> {},
                new TrackingHost(tracker));
    }

    private static final class TrackingHost extends CalmHost {

        private final SuspectTracker tracker;

        private TrackingHost(SuspectTracker tracker) {
            this.tracker = tracker;
        }

        @Override
        public void onEvent(CallEvent event) {
            if (event instanceof CallEvent.SuspicionsReceived e) {
                e.suspicions().forEach(tracker::merge);
            }
            if (event instanceof CallEvent.ClearancesReceived e) {
                e.clearances().forEach(tracker::clear);
            }
        }
    }
}
