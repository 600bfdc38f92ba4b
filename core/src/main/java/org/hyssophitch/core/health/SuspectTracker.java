package org.hyssophitch.core.health;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Finds requests that crash backend servers, by the requests in flight at the time of each crash. Not thread-safe;
 * confined to the call engine.
 *
 * <p>A crash adds a total score of 1, shared evenly by the fingerprints in flight at the crashed server. A suspect
 * request runs on one server at a time. The requests of a fingerprint are refused ({@link Verdict#CONVICTED}) when it
 * was in flight during enough crashes and its score reaches a threshold. A server that is up again and crashes once
 * more counts again. An answer whose status isn't a server error clears a suspect. The number of fingerprints is
 * bounded; the one with the oldest news is dropped.
 */
public final class SuspectTracker {

    /** Assessment of a request by its fingerprint. */
    public enum Verdict {
        /** The request isn't suspect and runs without restriction. */
        CLEAR,
        /** The request may have crashed a server and runs on one server at a time. */
        SUSPECT,
        /** The request very likely crashes servers and is refused. */
        CONVICTED
    }

    /**
     * Score of one request for one crash, as shared among entry hosts. Immutable.
     *
     * @param fingerprint fingerprint of the request
     * @param server backend server that crashed
     * @param crashMicros time of the crash in microseconds
     * @param score share of the crash that is assigned to the request, from 0 to 1
     */
    public record Suspicion(String fingerprint, String server, long crashMicros, double score) {}

    private static final double REFUSAL_SCORE = 1.2;
    private static final int REFUSAL_CRASHES = 2;
    /** Score threshold where refusing a harmless request costs more than one more crash. */
    private static final double STRICT_REFUSAL_SCORE = 2;
    /** Threshold of crashes where refusing a harmless request costs more than one more crash. */
    private static final int STRICT_REFUSAL_CRASHES = 3;

    /** Time in microseconds after which a crash no longer counts. */
    private static final long CRASH_RETENTION_MICROS = 600_000_000L;

    /** Time in microseconds within which no server is up again after a crash and crashes once more. */
    private static final long MIN_CRASH_INTERVAL_MICROS = 1_000_000;

    private static final int MAX_SUSPECTS = 1_000;

    private static final class Suspect {
        private final List<Suspicion> crashes = new ArrayList<>();
        private int running;

        private double score() {
            return crashes.stream().mapToDouble(Suspicion::score).sum();
        }

        /** Adds a crash, or keeps the higher score if it is known; returns whether it is new. */
        private boolean add(Suspicion s) {
            Optional<Suspicion> known =
                    crashes.stream().filter(c -> isSameCrash(c, s)).findFirst();
            if (known.isPresent() && known.get().score() >= s.score()) {
                return false;
            }
            known.ifPresent(crashes::remove);
            crashes.add(s);
            return known.isEmpty();
        }
    }

    private final Map<String, Suspect> suspects = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Suspect> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };

    private final int refusalCrashes;
    private final double refusalScore;

    /** Creates a tracker that refuses a request after two crashes. */
    public SuspectTracker() {
        this(REFUSAL_CRASHES, REFUSAL_SCORE);
    }

    private SuspectTracker(int refusalCrashes, double refusalScore) {
        this.refusalCrashes = refusalCrashes;
        this.refusalScore = refusalScore;
    }

    /** Creates a tracker that refuses a request after three crashes. */
    public static SuspectTracker strict() {
        return new SuspectTracker(STRICT_REFUSAL_CRASHES, STRICT_REFUSAL_SCORE);
    }

    /** Returns whether a crash was so long ago that it no longer counts. */
    public static boolean isExpired(Suspicion s, long nowMicros) {
        return nowMicros - s.crashMicros() > CRASH_RETENTION_MICROS;
    }

    /** Returns the verdict on the requests with the given fingerprint, after expiring old crashes. */
    public Verdict verdict(String fingerprint, long nowMicros) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null) {
            return Verdict.CLEAR;
        }
        suspect.crashes.removeIf(s -> isExpired(s, nowMicros));
        if (suspect.crashes.isEmpty() && suspect.running == 0) {
            suspects.remove(fingerprint);
            return Verdict.CLEAR;
        }
        boolean isConvicted = suspect.crashes.size() >= refusalCrashes && suspect.score() >= refusalScore;
        return isConvicted ? Verdict.CONVICTED : Verdict.SUSPECT;
    }

    /** Returns the total score of a fingerprint; 0 if it isn't suspect. */
    public double score(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? 0 : suspect.score();
    }

    /**
     * Marks a suspect as running unless a request with its fingerprint is running already. Returns whether the request
     * may start, which is always so for a fingerprint that isn't suspect.
     */
    public boolean tryStart(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null) {
            return true;
        }
        if (suspect.running > 0) {
            return false;
        }
        suspect.running = 1;
        return true;
    }

    /** Records that the attempt of a suspect ended. */
    public void onEnd(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.running = 0;
        }
    }

    /** Clears a fingerprint after an answer without a server error, and returns whether it was suspect. */
    public boolean clear(String fingerprint) {
        return suspects.remove(fingerprint) != null;
    }

    /** Applies the clearance of another entry host, and returns whether the request was suspect and isn't any more. */
    public boolean clear(Clearance c) {
        Suspect suspect = suspects.get(c.fingerprint());
        if (suspect == null) {
            return false;
        }
        suspect.crashes.removeIf(c::covers);
        return suspect.crashes.isEmpty() && clear(c.fingerprint());
    }

    /**
     * Records a crash and returns the suspicions to share with the other entry hosts.
     *
     * @param server backend server that crashed
     * @param inFlight fingerprints of the requests that were in flight at the server
     * @param nowMicros time of the crash in microseconds
     */
    public List<Suspicion> onCrash(String server, Set<String> inFlight, long nowMicros) {
        Set<String> fingerprints = findSuspects(inFlight);
        double share = 1.0 / Math.max(1, fingerprints.size());
        List<Suspicion> found = new TreeSet<>(fingerprints)
                .stream().map(f -> new Suspicion(f, server, nowMicros, share)).toList();
        found.forEach(this::merge);
        return found;
    }

    /** Returns the fingerprints in flight that were already suspect, or all of them if none was. */
    private Set<String> findSuspects(Set<String> inFlight) {
        Set<String> knownSuspects =
                inFlight.stream().filter(suspects::containsKey).collect(Collectors.toSet());
        return knownSuspects.isEmpty() ? inFlight : knownSuspects;
    }

    /**
     * Merges a suspicion of this or another entry host; for each crash, the one with the highest score is kept.
     *
     * @return whether this crash wasn't yet known
     */
    public boolean merge(Suspicion s) {
        Suspect known = suspects.remove(s.fingerprint());
        Suspect suspect = known == null ? new Suspect() : known;
        suspects.put(s.fingerprint(), suspect);
        return suspect.add(s);
    }

    /** Returns the number of crashes during which requests with the given fingerprint were in flight. */
    public int crashes(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null ? 0 : suspect.crashes.size();
    }

    /** Returns whether two suspicions, perhaps of different hosts, are of one crash of one server. */
    private static boolean isSameCrash(Suspicion a, Suspicion b) {
        return a.server().equals(b.server()) && Math.abs(a.crashMicros() - b.crashMicros()) < MIN_CRASH_INTERVAL_MICROS;
    }
}
