package org.hyssophitch.http;

/**
 * Memory that the bodies of requests take on this host until they are passed on. Not thread-safe; confined to one event
 * loop.
 */
final class UploadMemory {

    /** Part of the heap that bodies may take together. */
    private static final double MAX_HEAP_SHARE = 0.2;

    /** Part of the memory from which on no body takes more than it needs. */
    private static final double SCARCE_SHARE = 0.5;

    private final long maxBytes = (long) (Runtime.getRuntime().maxMemory() * MAX_HEAP_SHARE);
    private long bytes;

    /** Records that bodies take more bytes, or fewer if the number is negative. */
    void add(long change) {
        bytes += change;
    }

    /** Returns whether no further body may be kept. */
    boolean isFull() {
        return bytes > maxBytes;
    }

    /** Returns whether bodies should take as little as they can. */
    boolean isScarce() {
        return bytes > maxBytes * SCARCE_SHARE;
    }

    long bytes() {
        return bytes;
    }
}
