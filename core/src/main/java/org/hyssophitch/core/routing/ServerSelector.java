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
 * Chooses a backend server by a routing policy. Not thread-safe; confined to the call engine.
 */
public final class ServerSelector {

    /** Half-life in microseconds of the weight of a reported load. */
    private static final double REPORT_HALF_LIFE_MICROS = 50_000;
    /** Maximum number of candidates listed in a choice. */
    private static final int MAX_CANDIDATE_VIEWS = 64;
    /** Multiple of the sample size above which candidates are drawn before their eligibility is checked. */
    private static final int LAZY_SAMPLING_FACTOR = 4;

    private final RandomGenerator random;
    private int nextIndex;

    /**
     * Creates a selector.
     *
     * @param random seeded source of randomness
     */
    public ServerSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses one of the eligible servers, or returns empty if there is none.
     *
     * @param policy routing policy
     * @param servers all servers that the call may still use
     * @param nowMicros current time in microseconds
     * @param includeViews whether to list the state of each candidate in the result
     */
    public Optional<Choice> choose(
            RoutingPolicy policy, List<ServerState> servers, long nowMicros, boolean includeViews) {
        List<ServerState> sampled = sample(policy, servers, nowMicros);
        if (sampled.isEmpty()) {
            return Optional.empty();
        }
        ToDoubleFunction<ServerState> score = scoreOf(policy, sampled, nowMicros);
        double[] scores = sampled.stream().mapToDouble(score).toArray();
        ServerState chosen = sampled.get(indexOfLowest(scores));
        List<CandidateView> views = includeViews ? views(servers, sampled, scores, chosen, nowMicros) : List.of();
        return Optional.of(new Choice(chosen, views));
    }

    private List<ServerState> sample(RoutingPolicy policy, List<ServerState> servers, long nowMicros) {
        return switch (policy) {
            case RoutingPolicy.Uniform u -> draw(servers, 1, nowMicros);
            case RoutingPolicy.RoundRobin r -> roundRobin(eligible(servers, nowMicros));
            case RoutingPolicy.LeastInFlight l -> eligible(servers, nowMicros);
            case RoutingPolicy.PowerOfTwo p -> draw(servers, 2, nowMicros);
            case RoutingPolicy.PowerOfD p -> draw(servers, p.sampleSize(), nowMicros);
            case RoutingPolicy.EstimatedDelay e -> draw(servers, e.sampleSize(), nowMicros);
            case RoutingPolicy.AskedLoad a -> draw(servers, a.sampleSize(), nowMicros);
        };
    }

    private List<ServerState> roundRobin(List<ServerState> eligible) {
        return eligible.isEmpty() ? eligible : List.of(eligible.get(Math.floorMod(nextIndex++, eligible.size())));
    }

    private static List<ServerState> eligible(List<ServerState> servers, long nowMicros) {
        return servers.stream().filter(s -> s.isEligible(nowMicros)).toList();
    }

    private ToDoubleFunction<ServerState> scoreOf(RoutingPolicy policy, List<ServerState> sampled, long nowMicros) {
        return switch (policy) {
            case RoutingPolicy.Uniform u -> s -> 0;
            case RoutingPolicy.RoundRobin r -> s -> 0;
            case RoutingPolicy.LeastInFlight l -> ServerState::inFlight;
            case RoutingPolicy.PowerOfTwo p -> ServerState::inFlight;
            case RoutingPolicy.PowerOfD p -> s -> s.inFlight() + decayedReportedLoad(s, nowMicros);
            case RoutingPolicy.EstimatedDelay e -> new DelayEstimator(e.zone(), sampled, nowMicros)::estimate;
            case RoutingPolicy.AskedLoad a ->
                new LoadPlacement(a.zone(), nowMicros, 0, LoadPlacement.DEFAULT_UTILIZATION)::cost;
        };
    }

    private static double decayedReportedLoad(ServerState s, long nowMicros) {
        return s.report()
                .map(r -> s.othersAtReport() * Math.pow(2, -r.ageMicros(nowMicros) / REPORT_HALF_LIFE_MICROS))
                .orElse(0.0);
    }

    /** Draws distinct eligible servers at random; returns all of them, in order, if there are at most {@code size}. */
    private List<ServerState> draw(List<ServerState> servers, int size, long nowMicros) {
        if (servers.size() > size * LAZY_SAMPLING_FACTOR) {
            List<ServerState> drawn = drawLazily(servers, size, nowMicros);
            if (drawn.size() == size) {
                return drawn;
            }
        }
        List<ServerState> eligible = eligible(servers, nowMicros);
        return eligible.size() <= size ? eligible : drawFrom(eligible, size);
    }

    /** Draws from many servers without checking all of them; may return too few if most aren't eligible. */
    private List<ServerState> drawLazily(List<ServerState> servers, int size, long nowMicros) {
        return random.ints((long) size * LAZY_SAMPLING_FACTOR, 0, servers.size())
                .distinct()
                .mapToObj(servers::get)
                .filter(s -> s.isEligible(nowMicros))
                .limit(size)
                .toList();
    }

    private List<ServerState> drawFrom(List<ServerState> eligible, int size) {
        return random.ints(0, eligible.size())
                .distinct()
                .limit(size)
                .mapToObj(eligible::get)
                .toList();
    }

    /** Returns the index of the lowest score; ties are broken at random, to prevent herding of the entry hosts. */
    private int indexOfLowest(double[] scores) {
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
            List<ServerState> servers, List<ServerState> sampled, double[] scores, ServerState chosen, long nowMicros) {
        List<CandidateView> views = new ArrayList<>();
        for (int i = 0; i < sampled.size(); i++) {
            ServerState s = sampled.get(i);
            views.add(view(s, scores[i], s == chosen ? CandidateView.CHOSEN : CandidateView.SCORED_HIGHER, nowMicros));
        }
        Stream<CandidateView> ineligible = (servers.size() > MAX_CANDIDATE_VIEWS ? sampled : servers)
                .stream()
                        .filter(s -> !s.isEligible(nowMicros))
                        .map(s -> view(s, 0, s.ineligibilityReason(nowMicros), nowMicros));
        return Stream.concat(views.stream(), ineligible)
                .limit(MAX_CANDIDATE_VIEWS)
                .toList();
    }

    /** Creates the view of a server's state at the time of a choice. */
    public static CandidateView view(ServerState s, double score, String verdict, long nowMicros) {
        int reported = s.report().map(LoadReport::inFlight).orElse(-1);
        long age = s.report().map(r -> r.ageMicros(nowMicros)).orElse(-1L);
        return new CandidateView(s.name(), s.inFlight(), reported, age, score, verdict);
    }
}
