package org.hyssophitch.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News that is repeated in datagrams a bounded number of times. Not thread-safe; owned by the agent engine.
 *
 * @param <T> kind of news
 */
public final class GossipBuffer<T> {

    private record Item<T>(T value, int timesLeft) {}

    private final Map<String, Item<T>> items = new LinkedHashMap<>();
    private final int repetitions;

    /**
     * Creates an empty buffer.
     *
     * @param repetitions number of datagrams that carry each item
     */
    public GossipBuffer(int repetitions) {
        this.repetitions = repetitions;
    }

    /** Adds news, or replaces older news of the same key. */
    public void add(String key, T value) {
        items.remove(key);
        items.put(key, new Item<>(value, repetitions));
    }

    /** Returns the news to put into one datagram, the least repeated first, and counts the repetition. */
    public List<T> take(int most) {
        List<Map.Entry<String, Item<T>>> chosen = new ArrayList<>(items.entrySet());
        chosen.sort(Comparator.comparingInt(e -> -e.getValue().timesLeft()));
        List<T> taken = new ArrayList<>();
        chosen.stream().limit(most).forEach(e -> {
            taken.add(e.getValue().value());
            countDown(e.getKey(), e.getValue());
        });
        return taken;
    }

    private void countDown(String key, Item<T> item) {
        if (item.timesLeft() <= 1) {
            items.remove(key);
        } else {
            items.put(key, new Item<>(item.value(), item.timesLeft() - 1));
        }
    }
}
