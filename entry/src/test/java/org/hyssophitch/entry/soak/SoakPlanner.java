package org.hyssophitch.entry.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.hyssophitch.entry.FakeStore.FailureMode;
import org.hyssophitch.entry.soak.ServerBehaviour.Fault;

/** Draws the plan of a soak. Not thread-safe. */
final class SoakPlanner {

    /** Hosts of a fleet in which hosts read the store through each other. */
    private static final int LARGE_FLEET = 17;
    /** Every so many seeds, a long soak has a large fleet. */
    private static final int LARGE_FLEET_EVERY = 8;

    private static final int SERVERS = 30;
    /** Few, so that a request often meets the connection that carried a spoiled answer. */
    private static final int FAULTY_SERVERS = 6;

    private static final double FAULTY_SHARE = 0.5;
    private static final long FIRST_MILLIS = 1_000;
    /** Part of the time after which no disruption starts, so that the run sees its end. */
    private static final double LAST_START = 0.75;

    private static final List<Fault> FAULTS =
            Stream.of(Fault.values()).filter(f -> f != Fault.NONE).toList();
    private static final List<FailureMode> STORE_FAILURES =
            List.of(FailureMode.UNAVAILABLE, FailureMode.UNRESPONSIVE, FailureMode.SLOW, FailureMode.THROTTLING);

    private final Random random;
    private final int hosts;
    private final long lastMillis;

    private SoakPlanner(long seed, int hosts, long durationMillis) {
        random = Seeds.random(seed, "plan");
        this.hosts = hosts;
        lastMillis = (long) (durationMillis * LAST_START);
    }

    /** Returns the plan of a long soak. */
    static SoakPlan plan(long seed, long durationMillis) {
        int hosts = seed % LARGE_FLEET_EVERY == 0
                ? LARGE_FLEET
                : 3 + Seeds.random(seed, "hosts").nextInt(3);
        return new SoakPlanner(seed, hosts, durationMillis).draw(seed, durationMillis);
    }

    /** Returns the plan of a soak with few hosts. */
    static SoakPlan smallPlan(long seed, long durationMillis) {
        return new SoakPlanner(seed, 3, durationMillis).draw(seed, durationMillis);
    }

    /** Returns the plan of a soak without stops, in which all servers spoil half of their answers in one way. */
    static SoakPlan faultPlan(Fault fault, long durationMillis) {
        List<Integer> servers = IntStream.range(0, FAULTY_SERVERS).boxed().toList();
        Disruption faults = new Disruption.Faults(servers, fault, FAULTY_SHARE, durationMillis);
        return new SoakPlan(
                fault.ordinal(),
                1,
                FAULTY_SERVERS,
                FAULTY_SERVERS * 2,
                SoakPlan.Site.SHORT,
                durationMillis,
                List.of(new SoakPlan.Timed(0, faults)));
    }

    private SoakPlan draw(long seed, long durationMillis) {
        SoakPlan.Site site = random.nextBoolean() ? SoakPlan.Site.SHORT : SoakPlan.Site.LONG;
        int callers = 20 + random.nextInt(16);
        int stops = Math.max(2, (int) (durationMillis / 6_000));
        int others = Math.max(3, (int) (durationMillis / 2_500));
        Stream<SoakPlan.Timed> all = Stream.concat(
                Stream.generate(() -> at(stop())).limit(stops),
                Stream.generate(() -> at(other())).limit(others));
        List<SoakPlan.Timed> sorted =
                all.sorted(Comparator.comparingLong(SoakPlan.Timed::millis)).toList();
        return new SoakPlan(seed, hosts, SERVERS, callers, site, durationMillis, sorted);
    }

    private SoakPlan.Timed at(Disruption disruption) {
        return new SoakPlan.Timed(between(FIRST_MILLIS, lastMillis), disruption);
    }

    private Disruption stop() {
        int count = Math.min(hosts - 1, random.nextInt(3) == 0 ? 1 + random.nextInt(hosts) : 1);
        int first = random.nextInt(hosts);
        List<Integer> stopped =
                IntStream.range(0, count).mapToObj(i -> (first + i) % hosts).toList();
        long intervalMillis = random.nextBoolean() ? 0 : between(200, 4_000);
        return new Disruption.Stop(stopped, intervalMillis, random.nextInt(3) > 0 ? 4 : 1);
    }

    private Disruption other() {
        List<Supplier<Disruption>> kinds = List.of(
                () -> new Disruption.Reload(random.nextInt(hosts)),
                () -> new Disruption.Pause(random.nextInt(hosts), between(300, 3_000)),
                () -> new Disruption.StoreFailure(pick(STORE_FAILURES), between(1_000, 8_000)),
                () -> new Disruption.Reconfigure(1 + random.nextInt(6), between(200, 1_500)),
                this::faults,
                this::faults,
                this::faults,
                this::faults,
                () -> new Disruption.Crash(random.nextInt(SERVERS), between(500, 5_000)),
                () -> new Disruption.Slowdown(someServers(), 4, between(1_000, 6_000)));
        return pick(kinds).get();
    }

    private Disruption faults() {
        return new Disruption.Faults(
                someServers(), pick(FAULTS), 0.05 + 0.3 * random.nextDouble(), between(2_000, 10_000));
    }

    private List<Integer> someServers() {
        double share = random.nextBoolean() ? 0.3 : 0.8;
        return IntStream.range(0, SERVERS)
                .filter(i -> random.nextDouble() < share)
                .boxed()
                .toList();
    }

    private long between(long from, long to) {
        return from + (long) ((to - from) * random.nextDouble());
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
