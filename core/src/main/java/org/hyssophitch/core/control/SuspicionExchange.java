package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.hyssophitch.core.health.Clearance;
import org.hyssophitch.core.health.SuspectTracker;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;

/**
 * Suspicions that an entry host knows and passes on to the other entry hosts. Not thread-safe; owned by the agent
 * engine or by the thread that sends the datagrams.
 *
 * <p>Made for a request that crashes servers and is repeated at random hosts of a large fleet: each crash is seen by
 * another host, so every host has to hear of all of them. A host passes on each suspicion that it hears for the first
 * time. The suspicions of requests that crashed several servers are also repeated in every datagram, a few at a time.
 * The others, which a mass crash makes numerous, are not. Each datagram says how many the sender repeats, so that a
 * host that started later or was cut off is sent what it lacks.
 *
 * <p>A clearance takes back the suspicions of a request on all hosts, so that a host that starts later doesn't refuse
 * what the others found to be harmless.
 */
public final class SuspicionExchange {

    /** Number of datagrams in which each host passes on a suspicion. */
    private static final int TRANSMISSIONS = 6;

    private static final int MAX_FINGERPRINTS = 1_000;
    private static final int MIN_REPEATED_CRASHES = 2;
    private static final int REPEATED_PER_DATAGRAM = 2;

    /** Missing suspicions from which a host is sent them all; it hears of fewer with the next datagrams. */
    private static final int MIN_MISSING = 3;
    /** Shortest time in microseconds between two times that all are sent. */
    private static final long MISSING_INTERVAL_MICROS = 5_000_000;

    private static final int MAX_MISSING = 256;
    private static final int MISSING_PER_DATAGRAM = 8;

    private final RandomGenerator random;
    private final GossipBuffer<Suspicion> news = new GossipBuffer<>(TRANSMISSIONS);
    private final Map<String, Map<String, Suspicion>> knownByFingerprint = new LinkedHashMap<>();
    private final List<Suspicion> repeated = new ArrayList<>();
    private final GossipBuffer<Clearance> clearanceNews = new GossipBuffer<>(TRANSMISSIONS);
    private final Map<String, Clearance> clearances = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Clearance> eldest) {
            return size() > MAX_FINGERPRINTS;
        }
    };
    private long nextMissingMicros;

    /**
     * Creates an exchange that knows no suspicion.
     *
     * @param random seeded random generator
     */
    public SuspicionExchange(RandomGenerator random) {
        this.random = random;
    }

    /** Adds suspicions of this or another host, and returns those that are new. */
    public List<Suspicion> add(List<Suspicion> suspicions) {
        return suspicions.stream().filter(this::add).toList();
    }

    /**
     * Takes back the suspicions of requests, up to now at most: they aren't passed on any more, but the clearances are.
     *
     * @return the clearances that changed something here
     */
    public List<Clearance> clear(List<Clearance> received, long nowMicros) {
        return received.stream()
                .map(c -> c.notAfter(nowMicros))
                .filter(this::clear)
                .toList();
    }

    /** Returns the clearances for the next datagram. */
    public List<Clearance> takeClearances(int maxCount) {
        return clearanceNews.take(maxCount);
    }

    /** Returns whether a request crashed several servers, so that other hosts should hear of it at once. */
    public boolean isUrgent(Suspicion s) {
        return knownByFingerprint.getOrDefault(s.fingerprint(), Map.of()).size() >= MIN_REPEATED_CRASHES;
    }

    /** Returns the suspicions for the next datagram: news, and a few random ones of requests with several crashes. */
    public List<Suspicion> take(int maxNews, long nowMicros) {
        repeated.removeIf(s -> SuspectTracker.isExpired(s, nowMicros));
        List<Suspicion> taken = new ArrayList<>(news.take(maxNews));
        if (!repeated.isEmpty()) {
            random.ints(REPEATED_PER_DATAGRAM, 0, repeated.size())
                    .distinct()
                    .mapToObj(repeated::get)
                    .filter(s -> !taken.contains(s))
                    .forEach(taken::add);
        }
        return taken;
    }

    /** Returns all suspicions that haven't expired. */
    public List<Suspicion> known(long nowMicros) {
        return knownByFingerprint.values().stream()
                .flatMap(m -> m.values().stream())
                .filter(s -> !SuspectTracker.isExpired(s, nowMicros))
                .toList();
    }

    /** Returns the number of suspicions that are repeated in datagrams. */
    public int repeatedCount() {
        return repeated.size();
    }

    /**
     * Returns the repeated suspicions for a host that repeats fewer, divided into datagrams; empty if it lacks hardly
     * any, or if all were sent to some host a short time ago. Of very many, a random part is returned.
     *
     * @param repeatedByOther number that the other host repeats; empty if it doesn't say
     */
    public List<List<Suspicion>> missing(OptionalInt repeatedByOther, long nowMicros) {
        boolean lacksMany = repeatedByOther.isPresent() && repeated.size() - repeatedByOther.getAsInt() >= MIN_MISSING;
        if (!lacksMany || nowMicros < nextMissingMicros) {
            return List.of();
        }
        nextMissingMicros = nowMicros + MISSING_INTERVAL_MICROS;
        List<Suspicion> shuffled = new ArrayList<>(repeated);
        Collections.shuffle(shuffled, Random.from(random));
        List<Suspicion> sent = shuffled.stream().limit(MAX_MISSING).toList();
        return IntStream.iterate(0, i -> i < sent.size(), i -> i + MISSING_PER_DATAGRAM)
                .mapToObj(i -> sent.subList(i, Math.min(sent.size(), i + MISSING_PER_DATAGRAM)))
                .toList();
    }

    private boolean clear(Clearance c) {
        Clearance known = clearances.get(c.fingerprint());
        if (known != null && known.micros() >= c.micros()) {
            return false;
        }
        clearances.remove(c.fingerprint());
        clearances.put(c.fingerprint(), c);
        news.removeIf(c::covers);
        Map<String, Suspicion> suspicions = knownByFingerprint.getOrDefault(c.fingerprint(), new LinkedHashMap<>());
        boolean isNews = suspicions.values().removeIf(c::covers);
        boolean isStillRepeated = suspicions.size() >= MIN_REPEATED_CRASHES;
        repeated.removeIf(s -> s.fingerprint().equals(c.fingerprint()) && (!isStillRepeated || c.covers(s)));
        if (isNews) {
            clearanceNews.add(c.fingerprint(), c);
        }
        return isNews;
    }

    private boolean add(Suspicion s) {
        Clearance clearance = clearances.get(s.fingerprint());
        if (clearance != null && clearance.covers(s)) {
            // A host that still passes it on hasn't heard of the clearance.
            clearanceNews.add(s.fingerprint(), clearance);
            return false;
        }
        String crash = s.server() + '|' + s.crashMicros();
        Map<String, Suspicion> known = knownByFingerprint.remove(s.fingerprint());
        Map<String, Suspicion> updated = known == null ? new LinkedHashMap<>() : known;
        knownByFingerprint.put(s.fingerprint(), updated);
        if (updated.putIfAbsent(crash, s) != null) {
            return false;
        }
        news.add(s.fingerprint() + '|' + crash, s);
        if (updated.size() == MIN_REPEATED_CRASHES) {
            repeated.addAll(updated.values());
        } else if (updated.size() > MIN_REPEATED_CRASHES) {
            repeated.add(s);
        }
        forgetOldest();
        return true;
    }

    /** Forgets the request whose last crash was heard of the longest ago when there are too many. */
    private void forgetOldest() {
        if (knownByFingerprint.size() > MAX_FINGERPRINTS) {
            String oldest = knownByFingerprint.keySet().iterator().next();
            knownByFingerprint.remove(oldest);
            repeated.removeIf(s -> s.fingerprint().equals(oldest));
        }
    }
}
