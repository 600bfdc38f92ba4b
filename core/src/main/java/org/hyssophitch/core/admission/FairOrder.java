package org.hyssophitch.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.hyssophitch.core.admission.CallQueue.QueuedCall;

/**
 * Weighted fair order of the waiting calls of one service between teams of equal priority: start-time fair queueing.
 * Not thread-safe; confined to the call engine.
 *
 * <p>Each call of a team has a virtual start time, which advances by the inverse of the team's weight with each call
 * before it. Calls with an earlier start go first. A team that had no calls waiting starts at the current virtual time,
 * so that it neither loses by what it used before nor saves up capacity that it didn't use.
 */
public final class FairOrder {

    /** Number of teams above which those that are level with the virtual time are dropped; they need no state. */
    private static final int PRUNE_SIZE = 128;
    /** Bound on the teams of one priority that are ahead of the virtual time, so that memory stays bounded. */
    private static final int MAX_TEAMS = 4_096;
    /** Bound on the number of different priorities. */
    private static final int MAX_PRIORITIES = 64;

    /** Virtual time of one priority, and the virtual start of the next call of each team that is ahead of it. */
    private static final class Clock {
        private final Map<String, Double> nextStarts = new HashMap<>();
        private double now;

        double nextStart(String team) {
            return Math.max(now, nextStarts.getOrDefault(team, now));
        }

        void onPlaced(String team, double weight) {
            double start = nextStart(team);
            nextStarts.put(team, start + 1 / weight);
            now = Math.max(now, start);
            if (nextStarts.size() > PRUNE_SIZE) {
                nextStarts.values().removeIf(s -> s <= now);
            }
            if (nextStarts.size() > MAX_TEAMS) {
                nextStarts.clear();
            }
        }
    }

    private record Tagged<T>(T call, int priority, double start) {}

    private final Map<Integer, Clock> clocks = new HashMap<>();

    /**
     * Orders calls by priority and then by virtual start. Calls of the same team keep their order, and so do all calls
     * of one priority if they belong to one team.
     *
     * @param calls waiting calls, ordered as if they all belonged to one team
     * @param entry returns the queue entry of a call
     * @param weights weights of the teams
     */
    public <T> List<T> order(List<T> calls, Function<T, QueuedCall> entry, TeamWeights weights) {
        if (!weights.hasTeams() || calls.size() < 2) {
            return calls;
        }
        Map<Integer, Map<String, Double>> starts = new HashMap<>();
        List<Tagged<T>> tagged = new ArrayList<>(calls.size());
        calls.forEach(c -> {
            QueuedCall q = entry.apply(c);
            Map<String, Double> next = starts.computeIfAbsent(q.priority(), p -> new HashMap<>());
            double start = next.computeIfAbsent(q.team(), t -> nextStart(q.priority(), t));
            next.put(q.team(), start + 1 / weights.of(q.team()));
            tagged.add(new Tagged<>(c, q.priority(), start));
        });
        tagged.sort(Comparator.<Tagged<T>>comparingInt(Tagged::priority).thenComparingDouble(Tagged::start));
        return tagged.stream().map(Tagged::call).toList();
    }

    /** Advances the virtual times for a call that a server has taken. */
    public void onPlaced(QueuedCall call, TeamWeights weights) {
        if (!weights.hasTeams()) {
            return;
        }
        if (clocks.size() >= MAX_PRIORITIES && !clocks.containsKey(call.priority())) {
            clocks.clear();
        }
        clocks.computeIfAbsent(call.priority(), p -> new Clock()).onPlaced(call.team(), weights.of(call.team()));
    }

    /** Returns the number of teams for which state is kept. */
    int size() {
        return clocks.values().stream().mapToInt(c -> c.nextStarts.size()).sum();
    }

    private double nextStart(int priority, String team) {
        Clock clock = clocks.get(priority);
        return clock == null ? 0 : clock.nextStart(team);
    }
}
