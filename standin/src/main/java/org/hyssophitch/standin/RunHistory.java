package org.hyssophitch.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** Records which backend server started each request, and counts load probes. Thread-safe. */
public class RunHistory {

    private final Map<String, List<String>> serversByRequest = new ConcurrentHashMap<>();
    private final Map<String, Long> lastStartMicros = new ConcurrentHashMap<>();
    private final LongAdder probes = new LongAdder();

    /** Records that a server starts to run a request. */
    public void onStart(String requestId, String server, long nowMicros) {
        serversByRequest
                .computeIfAbsent(requestId, r -> new CopyOnWriteArrayList<>())
                .add(server);
        lastStartMicros.put(server, nowMicros);
    }

    /** Counts a load probe. */
    public void onProbe() {
        probes.increment();
    }

    /** Returns the number of load probes so far. */
    public long probes() {
        return probes.sum();
    }

    /** Returns the time in microseconds passed to {@link #onStart} when a server last started a request, or 0. */
    public long lastStartMicros(String server) {
        return lastStartMicros.getOrDefault(server, 0L);
    }

    /** Returns the servers that started each request, by request id. */
    public Map<String, List<String>> serversByRequest() {
        return Map.copyOf(serversByRequest);
    }

    /** Returns the history as lines of the form {@code request server server ...}. */
    public String format() {
        return serversByRequest.entrySet().stream()
                .map(e -> e.getKey() + ' ' + String.join(" ", e.getValue()))
                .collect(Collectors.joining("\n"));
    }
}
