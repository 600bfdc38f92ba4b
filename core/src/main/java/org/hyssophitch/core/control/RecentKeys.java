package org.hyssophitch.core.control;

import java.util.LinkedHashSet;

/** Bounded set of the most recently added keys. Not thread-safe; owned by the agent engine. */
final class RecentKeys {

    private final LinkedHashSet<String> keys = new LinkedHashSet<>();
    private final int capacity;

    RecentKeys(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a key, and evicts the oldest one beyond the capacity; returns whether the key was absent. */
    boolean add(String key) {
        boolean isNew = keys.add(key);
        if (keys.size() > capacity) {
            keys.removeFirst();
        }
        return isNew;
    }
}
