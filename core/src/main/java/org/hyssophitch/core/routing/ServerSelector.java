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
    /** Multiple of the sample size from which on candidates are drawn before they are looked at. */
    private static final int LARGE_FACTOR = 4;

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
        List<ServerState> compared = sample(policy, all, nowMicros);
        if (compared.isEmpty()) {
            return Optional.empty();
        }
        ToDoubleFunction<ServerState> score = scoreOf(policy, compared, nowMicros);
        double[] scores = compared.stream().mapToDouble(score).toArray();
        ServerState chosen = compared.get(indexOfLeast(scores));
        List<CandidateView> views = isDetailed ? views(all, compared, scores, chosen, nowMicros) : List.of();
        return Optional.of(new Choice(chosen, views));
    }

    private List<ServerState> sample(RoutingPolicy policy, List<ServerState> all, long nowMicros) {
        return switch (policy) {
            case RoutingPolicy.Uniform u -> draw(all, 1, nowMicros);
            case RoutingPolicy.RoundRobin r -> inTurn(eligible(all, nowMicros));
            case RoutingPolicy.LeastInFlight l -> eligible(all, nowMicros);
            case RoutingPolicy.PowerOfTwo p -> draw(all, 2, nowMicros);
            case RoutingPolicy.PowerOfD p -> draw(all, p.sampleSize(), nowMicros);
            case RoutingPolicy.EstimatedDelay e -> draw(all, e.sampleSize(), nowMicros);
            case RoutingPolicy.AskedLoad a -> draw(all, a.sampleSize(), nowMicros);
        };
    }

    private List<ServerState> inTurn(List<ServerState> eligible) {
        return eligible.isEmpty() ? eligible : List.of(eligible.get(Math.floorMod(nextInTurn++, eligible.size())));
    }

    private static List<ServerState> eligible(List<ServerState> all, long nowMicros) {
        return all.stream().filter(s -> s.isEligible(nowMicros)).toList();
    }

    private ToDoubleFunction<ServerState> scoreOf(RoutingPolicy policy, List<ServerState> compared, long nowMicros) {
        return switch (policy) {
            case RoutingPolicy.Uniform u -> s -> 0;
            case RoutingPolicy.RoundRobin r -> s -> 0;
            case RoutingPolicy.LeastInFlight l -> ServerState::inFlight;
            case RoutingPolicy.PowerOfTwo p -> ServerState::inFlight;
            case RoutingPolicy.PowerOfD p -> s -> s.inFlight() + fadedReport(s, nowMicros);
            case RoutingPolicy.EstimatedDelay e -> new DelayEstimator(e.zone(), compared, nowMicros)::estimate;
            case RoutingPolicy.AskedLoad a ->
                new LoadPlacement(a.zone(), nowMicros, 0, LoadPlacement.DEFAULT_UTILIZATION)::cost;
        };
    }

    private static double fadedReport(ServerState s, long nowMicros) {
        return s.report()
                .map(r -> s.othersAtReport() * Math.pow(2, -r.ageMicros(nowMicros) / REPORT_HALF_LIFE_MICROS))
                .orElse(0.0);
    }

    /** Draws distinct eligible candidates; all of them, in order, when the sample covers them. */
    private List<ServerState> draw(List<ServerState> all, int size, long nowMicros) {
        if (all.size() > size * LARGE_FACTOR) {
            List<ServerState> drawn = drawUnseen(all, size, nowMicros);
            if (drawn.size() == size) {
                return drawn;
            }
        }
        List<ServerState> eligible = eligible(all, nowMicros);
        return eligible.size() <= size ? eligible : pick(eligible, size);
    }

    /** Draws from many candidates without looking at all of them; may find too few when most are not eligible. */
    private List<ServerState> drawUnseen(List<ServerState> all, int size, long nowMicros) {
        return random.ints((long) size * LARGE_FACTOR, 0, all.size())
                .distinct()
                .mapToObj(all::get)
                .filter(s -> s.isEligible(nowMicros))
                .limit(size)
                .toList();
    }

    private List<ServerState> pick(List<ServerState> eligible, int size) {
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
            views.add(view(s, scores[i], s == chosen ? CandidateView.CHOSEN : CandidateView.SCORED_HIGHER, nowMicros));
        }
        Stream<CandidateView> refused = (all.size() > MAX_VIEWS ? compared : all)
                .stream()
                        .filter(s -> !s.isEligible(nowMicros))
                        .map(s -> view(s, 0, s.ineligibilityReason(nowMicros), nowMicros));
        return Stream.concat(views.stream(), refused).limit(MAX_VIEWS).toList();
    }

    /** Returns what was known of a server when a choice was made. */
    public static CandidateView view(ServerState s, double score, String verdict, long nowMicros) {
        int reported = s.report().map(LoadReport::inFlight).orElse(-1);
        long age = s.report().map(r -> r.ageMicros(nowMicros)).orElse(-1L);
        return new CandidateView(s.name(), s.inFlight(), reported, age, score, verdict);
    }
}
