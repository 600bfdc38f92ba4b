package org.hyssophitch.bench.day;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;

/**
 * Records the attempts of all entry hosts and checks the extra ones (retries and hedges) against the shared budget. Not
 * thread-safe; one run owns it.
 */
final class ExtraAttemptMonitor implements EventRecorder {

    private final Map<String, List<Long>> requests = new HashMap<>();
    private final Map<String, List<Long>> extraAttempts = new HashMap<>();

    @Override
    public void record(long nowMicros, String requestId, EventBody body) {
        switch (body) {
            case EventBody.CallArrived a -> add(requests, a.service(), nowMicros);
            case EventBody.ServerChosen c when c.attempt() > 1 -> add(extraAttempts, c.service(), nowMicros);
            default -> {}
        }
    }

    @Override
    public boolean isDetailed() {
        return false;
    }

    /** Returns the number of attempts after the first one, over all services. */
    long total() {
        return extraAttempts.values().stream().mapToLong(List::size).sum();
    }

    /**
     * Returns the number of extra attempts above the budget in the worst window of any service; negative if all windows
     * are within the budget. The budget of a window is based on the highest request count of three windows: the window
     * itself and those that end half a window and a whole window earlier.
     */
    double excess(FleetLimits limits) {
        return extraAttempts.entrySet().stream()
                .mapToDouble(e -> excess(e.getValue(), requests.getOrDefault(e.getKey(), List.of()), limits))
                .max()
                .orElse(-limits.extraAttemptAllowance());
    }

    private static double excess(List<Long> extraAttempts, List<Long> requests, FleetLimits limits) {
        long window = limits.extraAttemptWindowMicros();
        return extraAttempts.stream()
                .mapToDouble(end -> {
                    long maxRequests = LongStream.of(0, window / 2, window)
                            .map(offset -> count(requests, end - offset, window))
                            .max()
                            .orElseThrow();
                    return count(extraAttempts, end, window)
                            - limits.extraAttemptRatio() * maxRequests
                            - limits.extraAttemptAllowance();
                })
                .max()
                .orElseThrow();
    }

    private static long count(List<Long> times, long end, long window) {
        return times.stream().filter(t -> t > end - window && t <= end).count();
    }

    private static void add(Map<String, List<Long>> times, String service, long nowMicros) {
        times.computeIfAbsent(service, s -> new ArrayList<>()).add(nowMicros);
    }
}
