package org.hyssophitch.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.timeline.EventBody.CandidateView;

/**
 * Chooses a backend server by a routing policy. Not thread-safe; owned by the call engine.
 */
public final class ServerSelector {

    /** Age in microseconds at which a reported load counts half. */
    private static final double REPORT_HALF_LIFE_MICROS = 50_000;
    /** Candidates listed in one decision at the most. */
    private static final int MAX_VIEWS = 64;

    private final RandomGenerator random;
    private int nextInTurn;

    /**
     * Creates a selector.
     *
     * @param random seeded source of randomness
     */
    public ServerSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses among the eligible candidates, or returns empty when there is none.
     *
     * @param policy how to choose
     * @param all all servers that the call may still use
     * @param nowMicros current time in microseconds
     * @param isDetailed whether to list what was known of each candidate
     */
    public Optional<Choice> choose(RoutingPolicy policy, List<ServerState> all, long nowMicros, boolean isDetailed) {
        List<ServerState> eligible =
                all.stream().filter(s -> s.isEligible(nowMicros)).toList();
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        List<ServerState> compared = sample(policy, eligible);
        ToDoubleFunction<ServerState> score = scoreOf(policy, compared, nowMicros);
        double[] scores = compared.stream().mapToDouble(score).toArray();
        ServerState chosen = compared.get(indexOfLeast(scores));
        List<CandidateView> views = isDetailed ? views(all, compared, scores, chosen, nowMicros) : List.of();
        return Optional.of(new Choice(chosen, views));
    }

    private List<ServerState> sample(RoutingPolicy policy, List<ServerState> eligible) {
        return switch (policy) {
            case RoutingPolicy.Uniform u -> draw(eligible, 1);
            case RoutingPolicy.RoundRobin r -> List.of(eligible.get(Math.floorMod(nextInTurn++, eligible.size())));
            case RoutingPolicy.LeastInFlight l -> eligible;
            case RoutingPolicy.PowerOfTwo p -> draw(eligible, 2);
            case RoutingPolicy.PowerOfD p -> draw(eligible, p.sampleSize());
            case RoutingPolicy.EstimatedDelay e -> draw(eligible, e.sampleSize());
        };
    }

    private ToDoubleFunction<ServerState> scoreOf(RoutingPolicy policy, List<ServerState> compared, long nowMicros) {
        return switch (policy) {
            case RoutingPolicy.Uniform u -> s -> 0;
            case RoutingPolicy.RoundRobin r -> s -> 0;
            case RoutingPolicy.LeastInFlight l -> ServerState::inFlight;
            case RoutingPolicy.PowerOfTwo p -> ServerState::inFlight;
            case RoutingPolicy.PowerOfD p -> s -> s.inFlight() + fadedReport(s, nowMicros);
            case RoutingPolicy.EstimatedDelay e -> new DelayEstimator(e.zone(), compared, nowMicros)::estimate;
        };
    }

    private static double fadedReport(ServerState s, long nowMicros) {
        return s.report()
                .map(r -> s.othersAtReport() * Math.pow(2, -r.ageMicros(nowMicros) / REPORT_HALF_LIFE_MICROS))
                .orElse(0.0);
    }

    /** Draws distinct candidates; all of them, in order, when the sample covers them. */
    private List<ServerState> draw(List<ServerState> eligible, int size) {
        if (eligible.size() <= size) {
            return eligible;
        }
        if (size == 1) {
            return List.of(eligible.get(random.nextInt(eligible.size())));
        }
        return random.ints(0, eligible.size())
                .distinct()
                .limit(size)
                .mapToObj(eligible::get)
                .toList();
    }

    /** Returns the index of the least score; ties are broken at random, so that entry hosts don't herd. */
    private int indexOfLeast(double[] scores) {
        int best = 0;
        int ties = 1;
        for (int i = 1; i < scores.length; i++) {
            if (scores[i] < scores[best]) {
                best = i;
                ties = 1;
            } else if (scores[i] == scores[best] && random.nextInt(++ties) == 0) {
                best = i;
            }
        }
        return best;
    }

    private static List<CandidateView> views(
            List<ServerState> all, List<ServerState> compared, double[] scores, ServerState chosen, long nowMicros) {
        List<CandidateView> views = new ArrayList<>();
        for (int i = 0; i < compared.size(); i++) {
            ServerState s = compared.get(i);
            views.add(view(s, scores[i], s == chosen ? "chosen" : "scored-higher", nowMicros));
        }
        Stream<CandidateView> refused = all.stream()
                .filter(s -> !s.isEligible(nowMicros))
                .map(s -> view(s, 0, s.refusal(nowMicros), nowMicros));
        return Stream.concat(views.stream(), refused).limit(MAX_VIEWS).toList();
    }

    private static CandidateView view(ServerState s, double score, String verdict, long nowMicros) {
        int reported = s.report().map(LoadReport::inFlight).orElse(-1);
        long age = s.report().map(r -> r.ageMicros(nowMicros)).orElse(-1L);
        return new CandidateView(s.name(), s.inFlight(), reported, age, score, verdict);
    }
}
