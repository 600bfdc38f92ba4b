package org.hyssophitch.core.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import java.util.zip.CRC32C;

/**
 * Rendezvous hashing: every host computes the same owners of a key from the same set of hosts,
 * without coordination. Stateless.
 */
public final class RendezvousHash {

    private static final Comparator<Candidate> LIGHTEST_FIRST =
            Comparator.comparingLong(Candidate::weight).thenComparing(Candidate::host);

    private record Candidate(String host, long weight) {}

    private RendezvousHash() {}

    /**
     * Returns the owners of a key, fewer than {@code count} if there are fewer hosts.
     *
     * @param key key to be owned
     * @param hosts names of the candidate hosts
     * @param count number of owners
     */
    public static List<String> owners(String key, Collection<String> hosts, int count) {
        byte[] prefix = (key + '|').getBytes(StandardCharsets.UTF_8);
        return owners(hosts, count, h -> weight(prefix, h));
    }

    /** Returns whether a host is the owner of a key, given a single owner. */
    public static boolean isOwner(String key, Collection<String> hosts, String host) {
        return owners(key, hosts, 1).contains(host);
    }

    /** Returns a hash of a name, for {@link #weight(long, long)}. */
    public static long hash(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /**
     * Returns the weight of a host for a key, given their hashes; the owner has the smallest one. It differs from the
     * weights of {@link #owners}, which hash both names together.
     */
    public static long weight(long key, long host) {
        return new SplittableRandom(key << Integer.SIZE | host).nextLong();
    }

    /**
     * Returns the hosts of the lowest weights. Computes each weight once and doesn't sort the other hosts, because an
     * entry host selects among all hosts or servers several times a second.
     */
    static List<String> owners(Collection<String> hosts, int count, ToLongFunction<String> weight) {
        List<Candidate> lightest = new ArrayList<>();
        for (String host : hosts) {
            Candidate c = new Candidate(host, weight.applyAsLong(host));
            int place = lightest.size();
            while (place > 0 && LIGHTEST_FIRST.compare(c, lightest.get(place - 1)) < 0) {
                place--;
            }
            if (place < count) {
                lightest.add(place, c);
            }
            if (lightest.size() > count) {
                lightest.removeLast();
            }
        }
        return lightest.stream().map(Candidate::host).toList();
    }

    private static long weight(byte[] prefix, String host) {
        CRC32C crc = new CRC32C();
        crc.update(prefix);
        crc.update(host.getBytes(StandardCharsets.UTF_8));
        return new SplittableRandom(crc.getValue()).nextLong();
    }
}
