package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.hyssophitch.core.health.SuspectTracker;
import org.hyssophitch.core.health.SuspectTracker.Suspicion;

/**
 * Suspicions that an entry host knows and passes on to the other entry hosts. Not thread-safe; owned by the agent
 * engine or by the thread that sends the datagrams.
 *
 * <p>Made for a request that crashes servers and is repeated at random hosts of a large fleet: each crash is seen by
 * another host, so every host has to hear of all of them. A host passes on each suspicion that it hears for the first
 * time. The suspicions of requests that crashed several servers are also repeated in every datagram, a few at a time,
 * for hosts that started later or were cut off. The others, which a mass crash makes numerous, are not.
 */
public final class SuspicionExchange {

    /** Number of datagrams in which each host passes on a suspicion. */
    private static final int TRANSMISSIONS = 6;

    private static final int MAX_FINGERPRINTS = 1_000;
    private static final int MIN_REPEATED_CRASHES = 2;
    private static final int REPEATED_PER_DATAGRAM = 2;

    private final RandomGenerator random;
    private final GossipBuffer<Suspicion> news = new GossipBuffer<>(TRANSMISSIONS);
    private final Map<String, Map<String, Suspicion>> knownByFingerprint = new LinkedHashMap<>();
    private final List<Suspicion> repeated = new ArrayList<>();

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

    private boolean add(Suspicion s) {
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
