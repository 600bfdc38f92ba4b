package org.hyssophitch.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Responses that a stopping host keeps until they are whole, because others wait behind them, and the memory that they
 * take. Not thread-safe; confined to one event loop.
 */
final class WithheldResponses {

    /** Size in bytes up to which a response is withheld; a larger one is relayed as it arrives. */
    private static final int MAX_RESPONSE_BYTES = 1_048_576;
    /** Part of the heap that withheld responses may take together. */
    private static final double MAX_HEAP_SHARE = 0.1;

    private final long maxBytes = (long) (Runtime.getRuntime().maxMemory() * MAX_HEAP_SHARE);
    private final Map<CallerExchange, Integer> sizes = new HashMap<>();
    /** Responses that were too large once; these are relayed from then on. */
    private final Set<CallerExchange> released = new HashSet<>();

    private long bytes;

    /**
     * Returns whether a response is withheld.
     *
     * @param size size in bytes of what was received of its content
     */
    boolean withholds(CallerExchange exchange, int size) {
        remove(exchange);
        if (released.contains(exchange) || size > MAX_RESPONSE_BYTES || bytes + size > maxBytes) {
            released.add(exchange);
            return false;
        }
        sizes.put(exchange, size);
        bytes += size;
        return true;
    }

    /** Forgets a response that is whole or has been discarded. */
    void onEnded(CallerExchange exchange) {
        remove(exchange);
        released.remove(exchange);
    }

    private void remove(CallerExchange exchange) {
        Integer size = sizes.remove(exchange);
        bytes -= size == null ? 0 : size;
    }
}
