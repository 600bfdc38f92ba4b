package org.hyssophitch.core.admission;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.hyssophitch.core.team.Team;

/**
 * Weights of the teams in the order of waiting calls: their quotas in requests per second. Callers without a quota get
 * the mean quota, so that a missing quota is neither an advantage nor a disadvantage. Immutable.
 */
public final class TeamWeights {

    /** Weights of a configuration without teams. */
    public static final TeamWeights NONE = of(List.of());

    private static final double WEIGHT_WITHOUT_QUOTAS = 1;

    private final Map<String, Double> quotas;
    private final double defaultWeight;
    private final boolean hasTeams;

    private TeamWeights(Map<String, Double> quotas, double defaultWeight, boolean hasTeams) {
        this.quotas = quotas;
        this.defaultWeight = defaultWeight;
        this.hasTeams = hasTeams;
    }

    /** Returns the weights of a configuration's teams. */
    public static TeamWeights of(List<Team> teams) {
        Map<String, Double> quotas = teams.stream()
                .filter(Team::hasQuota)
                .collect(Collectors.toUnmodifiableMap(Team::name, Team::requestsPerSecond, Math::max));
        double mean = quotas.values().stream().mapToDouble(q -> q).average().orElse(WEIGHT_WITHOUT_QUOTAS);
        return new TeamWeights(quotas, mean, !teams.isEmpty());
    }

    /** Returns whether the configuration has teams, so that calls are ordered by team at all. */
    public boolean hasTeams() {
        return hasTeams;
    }

    /** Returns the weight of a team, or of the callers without a team if the name is empty. */
    public double of(String team) {
        return quotas.getOrDefault(team, defaultWeight);
    }
}
