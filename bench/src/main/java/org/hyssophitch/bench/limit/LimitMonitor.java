package org.hyssophitch.bench.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;

/**
 * Records the attempts that all entry hosts send to one limited server, and compares them with its limit. Not
 * thread-safe; one run owns it.
 */
final class LimitMonitor {

    /** Length of the sliding window in microseconds in which requests are counted. */
    private static final long WINDOW_MICROS = 4_000_000;
    /** Time in microseconds after the first statement of a limit from which windows are checked. */
    private static final long SETTLING_MICROS = 3_000_000;
    /** Time in microseconds after which the requests of a host that has passed on a statement count. */
    private static final long HEARD_DELAY_MICROS = 500_000;

    private static final double TOLERANCE_FACTOR = 1.5;
    private static final double TOLERANCE_REQUESTS = 5;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private record Arrival(long micros, String host) {}

    /** A period in which the server states a limit; ends at {@link Long#MAX_VALUE} while it lasts. */
    private record Period(long startMicros, long endMicros, double perSecond) {}

    private final String server;
    private final Map<String, Long> heardMicros = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Period> periods = new ArrayList<>();

    LimitMonitor(String server) {
        this.server = server;
    }

    /** Records that the server states a limit from now on; 0 for none. */
    void onStated(double perSecond, long nowMicros) {
        if (!periods.isEmpty() && periods.getLast().endMicros() == Long.MAX_VALUE) {
            Period last = periods.removeLast();
            periods.add(new Period(last.startMicros(), nowMicros, last.perSecond()));
        }
        if (perSecond > 0) {
            periods.add(new Period(nowMicros, Long.MAX_VALUE, perSecond));
        }
    }

    /** Records that a host was started again: it has heard nothing. */
    void onRestarted(String host) {
        heardMicros.remove(host);
        arrivals.removeIf(a -> a.host().equals(host));
    }

    /** Returns the recorder of one host's engine. */
    EventRecorder recorder(String host) {
        return (now, request, body) -> {
            switch (body) {
                case EventBody.ServerChosen c when c.server().equals(server) -> arrivals.add(new Arrival(now, host));
                case EventBody.AttemptEnded e when isPassedOn(e, now) -> heardMicros.putIfAbsent(host, now);
                default -> {}
            }
        };
    }

    private boolean isPassedOn(EventBody.AttemptEnded e, long now) {
        boolean isStated = periods.stream().anyMatch(p -> p.startMicros() < now && now <= p.endMicros());
        return isStated && e.server().equals(server) && e.result().equals("completed");
    }

    /** Returns by how many requests the worst window exceeds what the limit allows; negative if none does. */
    double worstExcess() {
        return periods.stream().mapToDouble(this::worstExcess).max().orElse(-TOLERANCE_REQUESTS);
    }

    /** Returns the requests per second of the settled time as a fraction of the limit. */
    double shareUsed() {
        return periods.stream()
                .filter(p -> p.endMicros() == Long.MAX_VALUE)
                .mapToDouble(p -> {
                    long start = p.startMicros() + WINDOW_MICROS;
                    long end = arrivals.isEmpty() ? start : arrivals.getLast().micros();
                    long used =
                            arrivals.stream().filter(a -> a.micros() >= start).count();
                    return end <= start ? 0 : used * MICROS_PER_SECOND / (end - start) / p.perSecond();
                })
                .findFirst()
                .orElse(0);
    }

    private double worstExcess(Period p) {
        double allowed = TOLERANCE_FACTOR * p.perSecond() * WINDOW_MICROS / MICROS_PER_SECOND + TOLERANCE_REQUESTS;
        Deque<Arrival> window = new ArrayDeque<>();
        double worst = -allowed;
        for (Arrival a : arrivals) {
            window.addLast(a);
            while (window.getFirst().micros() <= a.micros() - WINDOW_MICROS) {
                window.removeFirst();
            }
            if (a.micros() >= p.startMicros() + SETTLING_MICROS && a.micros() <= p.endMicros()) {
                worst = Math.max(worst, countHeard(window, a.micros()) - allowed);
            }
        }
        return worst;
    }

    private long countHeard(Deque<Arrival> window, long endMicros) {
        return window.stream()
                .filter(a -> heardMicros.getOrDefault(a.host(), Long.MAX_VALUE) <= endMicros - HEARD_DELAY_MICROS)
                .count();
    }
}
