package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Buffer of updates to gossip, each of which is sent in a limited number of datagrams. Not thread-safe; owned by the
 * agent engine or by the thread that sends the datagrams.
 *
 * @param <T> type of the updates
 */
public final class GossipBuffer<T> {

    private record Item<T>(T value, int remainingSends) {}

    private final Map<String, Item<T>> items = new LinkedHashMap<>();
    private final int repetitions;

    /**
     * Creates an empty buffer.
     *
     * @param repetitions number of datagrams that carry each update
     */
    public GossipBuffer(int repetitions) {
        this.repetitions = repetitions;
    }

    /** Adds an update, or replaces an older update with the same key. */
    public void add(String key, T value) {
        items.remove(key);
        items.put(key, new Item<>(value, repetitions));
    }

    /** Drops the updates that aren't to be sent any more. */
    public void removeIf(Predicate<T> isObsolete) {
        items.values().removeIf(i -> isObsolete.test(i.value()));
    }

    /** Returns the updates for the next datagram, those sent least often first, and counts them as sent once more. */
    public List<T> take(int maxCount) {
        List<Map.Entry<String, Item<T>>> leastSentFirst = new ArrayList<>(items.entrySet());
        leastSentFirst.sort(Comparator.comparingInt(e -> -e.getValue().remainingSends()));
        List<T> taken = new ArrayList<>();
        leastSentFirst.stream().limit(maxCount).forEach(e -> {
            taken.add(e.getValue().value());
            decrementRemainingSends(e.getKey(), e.getValue());
        });
        return taken;
    }

    private void decrementRemainingSends(String key, Item<T> item) {
        if (item.remainingSends() <= 1) {
            items.remove(key);
        } else {
            items.put(key, new Item<>(item.value(), item.remainingSends() - 1));
        }
    }
}
