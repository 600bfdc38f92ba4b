package org.hyssophitch.core.health;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Register of the requests that were in flight when backend servers crashed. Not thread-safe; owned by the call
 * engine.
 *
 * <p>A crash spreads one unit of suspicion evenly over the fingerprints in flight at the crashed server. A suspect runs
 * on one server at a time; a fingerprint seen in the crashes of several servers with enough suspicion is convicted; a
 * whole answer clears a suspect.
 */
public final class SuspectTracker {

    /** What may be done with a request. */
    public enum Verdict {
        /** No suspicion: the request may run freely. */
        CLEAR,
        /** Suspicion: the request may run on one server at a time. */
        SUSPECT,
        /** The request is refused. */
        CONVICTED
    }

    /**
     * Suspicion as shared among entry hosts.
     *
     * @param fingerprint fingerprint of the request
     * @param server backend server that crashed
     * @param crashMicros time of the crash in microseconds
     * @param score share of the crash
     */
    public record Suspicion(String fingerprint, String server, long crashMicros, double score) {}

    private static final double CONVICTION_SCORE = 1.2;
    private static final int CONVICTION_SERVERS = 2;
    /** The same where refusing a harmless request costs more than one more crash. */
    private static final double STRICT_SCORE = 2;

    private static final int STRICT_SERVERS = 3;
    private static final long MEMORY_MICROS = 600_000_000L;
    private static final int MAX_SUSPECTS = 1_000;

    private static final class Suspect {
        private final Map<String, Suspicion> byServer = new HashMap<>();
        private int running;

        private double score() {
            return byServer.values().stream().mapToDouble(Suspicion::score).sum();
        }
    }

    private final Map<String, Suspect> entries = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Suspect> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };

    private final int convictionServers;
    private final double convictionScore;

    /** Creates a register that convicts after the crashes of two servers. */
    public SuspectTracker() {
        this(CONVICTION_SERVERS, CONVICTION_SCORE);
    }

    private SuspectTracker(int convictionServers, double convictionScore) {
        this.convictionServers = convictionServers;
        this.convictionScore = convictionScore;
    }

    /** Creates a register that convicts after the crashes of three servers. */
    public static SuspectTracker strict() {
        return new SuspectTracker(STRICT_SERVERS, STRICT_SCORE);
    }

    /** Returns what may be done with a request of the given fingerprint. */
    public Verdict verdict(String fingerprint, long nowMicros) {
        Suspect e = entries.get(fingerprint);
        if (e == null) {
            return Verdict.CLEAR;
        }
        e.byServer.values().removeIf(s -> nowMicros - s.crashMicros() > MEMORY_MICROS);
        if (e.byServer.isEmpty() && e.running == 0) {
            entries.remove(fingerprint);
            return Verdict.CLEAR;
        }
        boolean isConvicted = e.byServer.size() >= convictionServers && e.score() >= convictionScore;
        return isConvicted ? Verdict.CONVICTED : Verdict.SUSPECT;
    }

    /** Returns the suspicion against a fingerprint; 0 when there is none. */
    public double score(String fingerprint) {
        Suspect e = entries.get(fingerprint);
        return e == null ? 0 : e.score();
    }

    /** Notes that a suspect starts to run, unless one with its fingerprint runs already; returns whether it may. */
    public boolean tryStart(String fingerprint) {
        Suspect e = entries.get(fingerprint);
        if (e == null) {
            return true;
        }
        if (e.running > 0) {
            return false;
        }
        e.running = 1;
        return true;
    }

    /** Notes that a suspect's attempt ended. */
    public void onEnd(String fingerprint) {
        Suspect e = entries.get(fingerprint);
        if (e != null) {
            e.running = 0;
        }
    }

    /** Clears a fingerprint after a whole answer; returns whether there was suspicion. */
    public boolean clear(String fingerprint) {
        return entries.remove(fingerprint) != null;
    }

    /**
     * Notes a crash and returns the suspicions to share with the other entry hosts.
     *
     * @param server backend server that crashed
     * @param inFlight fingerprints in flight at it
     * @param nowMicros time of the crash
     */
    public List<Suspicion> onCrash(String server, Set<String> inFlight, long nowMicros) {
        Set<String> blamed = blamed(inFlight);
        double share = 1.0 / Math.max(1, blamed.size());
        List<Suspicion> found = new TreeSet<>(blamed)
                .stream().map(f -> new Suspicion(f, server, nowMicros, share)).toList();
        found.forEach(this::merge);
        return found;
    }

    /** Returns those in flight that were suspect before; all of them when none was. */
    private Set<String> blamed(Set<String> inFlight) {
        Set<String> known = inFlight.stream().filter(entries::containsKey).collect(Collectors.toSet());
        return known.isEmpty() ? inFlight : known;
    }

    /** Takes over a suspicion, own or of another entry host; the larger share of one server's crash counts. */
    public void merge(Suspicion s) {
        entries.computeIfAbsent(s.fingerprint(), f -> new Suspect())
                .byServer
                .merge(s.server(), s, (a, b) -> a.score() >= b.score() ? a : b);
    }
}
