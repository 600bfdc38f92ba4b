package org.hyssophitch.core.control;

import java.util.LinkedHashSet;

/** Bounded memory of the latest keys seen. Not thread-safe; owned by the agent engine. */
final class RecentKeys {

    private final LinkedHashSet<String> keys = new LinkedHashSet<>();
    private final int capacity;

    RecentKeys(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a key; returns whether it was not remembered. */
    boolean add(String key) {
        boolean isNew = keys.add(key);
        if (keys.size() > capacity) {
            keys.removeFirst();
        }
        return isNew;
    }
}
