package org.hyssophitch.core.quota;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.hyssophitch.core.load.RendezvousHash;

/**
 * The entry hosts as owners of quotas: the order of owners of each team, and the fraction of a quota that an owner on
 * this side of a partition may grant. Not thread-safe.
 */
public final class QuotaFleet {

    /** Time in microseconds that a host has to run before it owns quotas; all hosts know of it by then. */
    static final long MIN_AGE_MICROS = 5_000_000;
    /**
     * Time in microseconds after its start or a pause for which a host grants nothing. Other hosts may act as owners
     * until they have heard of it.
     */
    static final long QUIET_MICROS = 2_000_000;
    /** Time in microseconds without events after which a host may have been taken for dead. */
    static final long PAUSE_MICROS = 1_200_000;
    /**
     * Fraction of a quota that may be used in addition to what the owner grants. The bound leaves a tenth of the quota
     * for it.
     */
    static final double SPARE_FRACTION = 0.1;
    /** Time in microseconds after which a larger fraction is used; both sides know of a healed partition by then. */
    private static final long RAISE_DELAY_MICROS = 5_000_000;

    private record Candidate(String name, long hash) {}

    private record Fraction(long sinceMicros, double value) {}

    private final String self;
    private final long startMicros;
    private int minCount;
    private List<FleetHost> hosts;
    private List<Candidate> candidates = List.of();
    private final Deque<Fraction> fractions = new ArrayDeque<>();
    private long nextMaturityMicros;
    private long lastMicros;
    private long quietUntilMicros;

    /**
     * Creates the fleet of a starting host, which knows only itself.
     *
     * @param self name of this host
     * @param incarnation start time of this process in microseconds
     * @param minCount smallest number of hosts to assume while this host knows no other one
     */
    public QuotaFleet(String self, long incarnation, int minCount) {
        this.self = self;
        this.startMicros = incarnation;
        this.minCount = minCount;
        this.hosts = List.of(new FleetHost(self, incarnation, FleetHost.State.ALIVE));
        this.quietUntilMicros = incarnation + QUIET_MICROS;
    }

    /** Replaces the number of hosts to assume while this host knows no other one. */
    void setMinCount(int value) {
        minCount = value;
    }

    /** Replaces the known hosts. */
    void update(Collection<FleetHost> known, long nowMicros) {
        hosts = known.stream().anyMatch(h -> h.name().equals(self))
                ? List.copyOf(known)
                : List.of(new FleetHost(self, startMicros, FleetHost.State.ALIVE));
        findCandidates(nowMicros);
        addFraction(nowMicros);
    }

    /**
     * Adapts to the passing of time.
     *
     * @return whether the owners of teams may have changed
     */
    boolean advance(long nowMicros) {
        boolean isMaturing = nowMicros >= nextMaturityMicros;
        if (isMaturing) {
            findCandidates(nowMicros);
            addFraction(nowMicros);
        }
        return isMaturing;
    }

    /** Returns whether this host has just stood still for so long that others may have taken its place. */
    boolean takePause(long nowMicros) {
        boolean hasPaused = lastMicros > 0 && nowMicros - lastMicros > PAUSE_MICROS;
        lastMicros = Math.max(lastMicros, nowMicros);
        if (hasPaused) {
            quietUntilMicros = nowMicros + QUIET_MICROS;
        }
        return hasPaused;
    }

    /** Stops watching for pauses, until {@link #takePause} is called again. */
    void ignorePause() {
        lastMicros = 0;
    }

    /** Returns whether this host has to grant nothing yet. */
    boolean isQuiet(long nowMicros) {
        return nowMicros < quietUntilMicros;
    }

    /** Returns the owner of a team's quota; empty if no host can own it. */
    Optional<String> owner(String team) {
        long key = RendezvousHash.hash(team);
        return candidates.stream()
                .min(Comparator.comparingLong(c -> RendezvousHash.weight(key, c.hash())))
                .map(Candidate::name);
    }

    /** Returns all hosts that may own a team's quota, the owner first. */
    List<String> order(String team) {
        long key = RendezvousHash.hash(team);
        return candidates.stream()
                .sorted(Comparator.comparingLong(c -> RendezvousHash.weight(key, c.hash())))
                .map(Candidate::name)
                .toList();
    }

    /** Returns whether this host is leaving. */
    boolean isLeaving() {
        return hosts.stream().anyMatch(h -> h.name().equals(self) && h.state() == FleetHost.State.LEAVING);
    }

    /** Returns the number of hosts to assume, those included that have been silent for a short time. */
    int known() {
        return hosts.size() == 1
                ? Math.max(1, minCount)
                : (int) hosts.stream()
                        .filter(h -> h.state() != FleetHost.State.LOST)
                        .count();
    }

    /** Returns the number of hosts that are silent and may still run. */
    int silent() {
        return (int) hosts.stream()
                .filter(h -> h.state() == FleetHost.State.SILENT || h.state() == FleetHost.State.SUSPECT)
                .count();
    }

    /**
     * Returns the fraction of each quota that an owner may grant, so that the owners on both sides of a partition
     * together stay within the quota. It falls at once and rises with a delay.
     */
    double fraction(long nowMicros) {
        if (hosts.size() == 1) {
            return 1.0 / Math.max(1, minCount);
        }
        while (fractions.size() > 1 && nowMicros - second().sinceMicros() >= RAISE_DELAY_MICROS) {
            fractions.removeFirst();
        }
        return fractions.stream().mapToDouble(Fraction::value).min().orElse(0);
    }

    private Fraction second() {
        return fractions.stream().skip(1).findFirst().orElseThrow();
    }

    private void addFraction(long nowMicros) {
        if (hosts.size() == 1) {
            // A host that has just started; the value isn't that of a partition.
            return;
        }
        double value = currentFraction();
        if (fractions.isEmpty() || fractions.getLast().value() != value) {
            fractions.addLast(new Fraction(nowMicros, value));
        }
    }

    private double currentFraction() {
        long running = hosts.stream().filter(FleetHost::isRunning).count();
        long lost = hosts.size() - known();
        // The hosts of a majority stop counting the lost ones, so those of a minority may only use the spare part.
        return lost > 0 && isMinority(running) ? SPARE_FRACTION * running / hosts.size() : (double) running / known();
    }

    private boolean isMinority(long running) {
        if (2 * running != hosts.size()) {
            return 2 * running < hosts.size();
        }
        return !hosts.stream()
                .min(Comparator.comparing(FleetHost::name))
                .map(FleetHost::isRunning)
                .orElse(false);
    }

    private void findCandidates(long nowMicros) {
        List<FleetHost> usable = hosts.stream().filter(FleetHost::isCandidate).toList();
        List<FleetHost> mature =
                usable.stream().filter(h -> isMature(h, nowMicros)).toList();
        nextMaturityMicros = usable.stream()
                .filter(h -> !isMature(h, nowMicros))
                .mapToLong(h -> h.incarnation() + MIN_AGE_MICROS)
                .min()
                .orElse(Long.MAX_VALUE);
        candidates = (mature.isEmpty() ? usable : mature)
                .stream()
                        .map(h -> new Candidate(h.name(), RendezvousHash.hash(h.name())))
                        .toList();
    }

    private static boolean isMature(FleetHost h, long nowMicros) {
        return nowMicros - h.incarnation() >= MIN_AGE_MICROS;
    }
}
