package org.hyssophitch.http;

import java.util.Arrays;

/** The latest requests that a connection has carried, by the hash codes of their ids. Not thread-safe. */
final class RecentRequests {

    /** Bounds the memory of a connection; a call makes its attempts while a connection carries far fewer requests. */
    private static final int CAPACITY = 128;

    private final int[] hashes = new int[CAPACITY];
    private int count;

    /** Adds a request; an empty id is left out. */
    void add(String requestId) {
        if (!requestId.isEmpty()) {
            hashes[count % CAPACITY] = requestId.hashCode();
            count++;
        }
    }

    /** Returns the number of requests that were added; larger than those remembered after many of them. */
    int size() {
        return count;
    }

    /** Returns whether a request may be among the latest ones; true also for another id with the same hash code. */
    boolean mayContain(String requestId) {
        int hash = requestId.hashCode();
        return !requestId.isEmpty()
                && Arrays.stream(hashes, 0, Math.min(count, CAPACITY)).anyMatch(h -> h == hash);
    }
}
