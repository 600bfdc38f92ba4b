package org.hyssophitch.core.team;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Index of the teams of one configuration version by the digests of their API keys. Immutable.
 *
 * <p>A lookup is one hash lookup, independent of the number of keys. A key that two teams hold identifies neither of
 * them, because a request must not run under the wrong team's name and quota.
 */
public final class TeamTable {

    /** Table of a configuration without teams, which needs no keys. */
    public static final TeamTable EMPTY = new TeamTable(List.of());

    /** Characters below the first printable one end a header, so that a team's name must not hold them. */
    private static final char FIRST_PRINTABLE = ' ';

    private static final char DELETE = '\u007f';

    private final Map<KeyDigest, Team> byKey;
    private final Map<String, Team> byName = new HashMap<>();
    private final List<String> problems = new ArrayList<>();
    private final boolean isEmpty;
    private final boolean hasPriorities;

    private TeamTable(Collection<Team> teams) {
        isEmpty = teams.isEmpty();
        hasPriorities = teams.stream().anyMatch(t -> t.priority().isPresent());
        byKey = HashMap.newHashMap(teams.stream().mapToInt(t -> t.keys().size()).sum());
        Set<KeyDigest> shared = new HashSet<>();
        teams.forEach(t -> add(t, shared));
        byKey.keySet().removeAll(shared);
    }

    /** Returns the index of a configuration's teams. */
    public static TeamTable of(Collection<Team> teams) {
        return teams.isEmpty() ? EMPTY : new TeamTable(teams);
    }

    /** Returns whether the configuration has no teams, so that requests need no key. */
    public boolean isEmpty() {
        return isEmpty;
    }

    /** Returns what is wrong with the teams, for the log; names teams but no keys. */
    public List<String> problems() {
        return List.copyOf(problems);
    }

    /** Finds the team that a key belongs to. */
    public Optional<Team> find(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Finds a team by name. */
    public Optional<Team> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns whether any team has a priority. */
    public boolean hasPriorities() {
        return hasPriorities;
    }

    /**
     * Decides who sent a request; everyone is anonymous without teams.
     *
     * @param keys API keys that the request carries; several different ones identify no team
     * @param allowsAnonymous whether the route of the request allows anonymous callers
     */
    public Authentication authenticate(Collection<String> keys, boolean allowsAnonymous) {
        Authentication withoutTeam = isEmpty || allowsAnonymous ? Authentication.ANONYMOUS : Authentication.UNKNOWN;
        Set<String> distinct = Set.copyOf(keys);
        if (distinct.size() != 1 || distinct.contains("")) {
            return withoutTeam;
        }
        KeyDigest key = KeyDigest.ofHeaderValue(distinct.iterator().next());
        return find(key)
                .<Authentication>map(t -> new Authentication.Member(t, key))
                .orElse(withoutTeam);
    }

    /** Returns whether the caller's key still belongs to its team; true for a caller without a team. */
    public boolean confirms(Caller caller) {
        return switch (caller) {
            case Caller.Anonymous a -> true;
            case Caller.Member m -> {
                Team team = byKey.get(m.key());
                yield team != null && team.name().equals(m.team());
            }
        };
    }

    private void add(Team team, Set<KeyDigest> shared) {
        if (!isHeaderValue(team.name())) {
            problems.add("a team is ignored because its name is empty or has control characters");
            return;
        }
        byName.putIfAbsent(team.name(), team);
        Set<String> others = new HashSet<>();
        team.keys().forEach(k -> {
            Team other = byKey.putIfAbsent(k, team);
            if (other != null && !other.name().equals(team.name())) {
                shared.add(k);
                others.add(other.name());
            }
        });
        others.forEach(o -> problems.add("teams " + o + " and " + team.name() + " hold the same key; it is not valid"));
    }

    private static boolean isHeaderValue(String name) {
        return !name.isBlank() && name.chars().noneMatch(c -> c < FIRST_PRINTABLE || c == DELETE);
    }
}
