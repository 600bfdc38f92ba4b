package org.hyssophitch.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.hyssophitch.core.quota.QuotaClient.Sent;
import org.hyssophitch.core.quota.QuotaDecision.Settled;
import org.hyssophitch.core.team.Team;

/**
 * All that one host does about quotas: it owns those of some teams, and asks the owners of the others for tokens. Not
 * thread-safe.
 *
 * <p>Does nothing and keeps no state while no team has a quota, except that it knows the fleet.
 */
public final class HostQuotas {

    /** Interval in microseconds at which time is checked, so that a pause of this process is noticed. */
    static final long CHECK_MICROS = 250_000;

    private final String self;
    private final QuotaFleet fleet;
    private final QuotaOwner owner;
    private final QuotaClient client;
    private Map<String, Team> teams = Map.of();
    private List<QuotaOwner.Change> changes = new ArrayList<>();
    private long nextCheckMicros = Long.MAX_VALUE;

    /**
     * Creates the quotas of a starting host without teams.
     *
     * @param self name of this host
     * @param incarnation start time of this process in microseconds
     * @param minHosts smallest number of hosts to assume while this host knows no other one
     * @param tolerance by how much the requests of a team may exceed its quota
     * @param random seeded source of randomness
     */
    public HostQuotas(String self, long incarnation, int minHosts, QuotaTolerance tolerance, RandomGenerator random) {
        this.self = self;
        this.fleet = new QuotaFleet(self, incarnation, minHosts);
        this.owner = new QuotaOwner(self, fleet, tolerance);
        this.client = new QuotaClient(fleet, incarnation, random);
    }

    /** Lets buckets of a new owner start full, for a test that shows that the bound is then exceeded. */
    void startFull() {
        owner.startFull();
    }

    /** Returns the number of teams whose quota this host owns. */
    public int owned() {
        return owner.owned();
    }

    /** Returns the quota of a team; empty if it has none. */
    public Optional<Team> quota(String team) {
        return Optional.ofNullable(teams.get(team));
    }

    /** Returns the time in microseconds at which {@link #onTime} is due. */
    public long nextMicros() {
        return teams.isEmpty() ? Long.MAX_VALUE : Math.min(nextCheckMicros, client.nextMicros());
    }

    /** Applies the teams and the smallest number of hosts of a configuration. */
    public void configure(List<Team> configured, int minHosts, long nowMicros) {
        fleet.setMinCount(minHosts);
        Map<String, Team> quotas =
                configured.stream().filter(Team::hasQuota).collect(Collectors.toMap(Team::name, Function.identity()));
        if (!quotas.equals(teams)) {
            advance(nowMicros);
            teams = quotas;
            changes.addAll(owner.setTeams(quotas, nowMicros));
            client.setTeams(quotas);
            nextCheckMicros = nowMicros + CHECK_MICROS;
        }
        if (teams.isEmpty()) {
            fleet.ignorePause();
        }
    }

    /** Applies a change of the known hosts. */
    public void onHosts(Collection<FleetHost> hosts, long nowMicros) {
        fleet.update(hosts, nowMicros);
        if (!teams.isEmpty()) {
            advance(nowMicros);
            changes.addAll(owner.refresh(nowMicros));
            owner.redefine(nowMicros);
        }
    }

    /** Requests a token for a call of a team with a quota. */
    public QuotaDecision request(long callId, Team team, long nowMicros) {
        advance(nowMicros);
        return client.request(callId, team, nowMicros);
    }

    /** Forgets a waiting call. */
    public void cancel(long callId, String team) {
        client.cancel(callId, team);
    }

    /** Takes back the token of a call that wasn't run. */
    public void giveBack(String team, long expiresMicros, long nowMicros) {
        client.giveBack(team, expiresMicros, nowMicros);
    }

    /** Answers a token request of another host; empty if a later request has overtaken it. */
    public Optional<QuotaGrant> onAsk(String host, QuotaAsk ask, long nowMicros) {
        if (!teams.isEmpty()) {
            advance(nowMicros);
        }
        return owner.answer(host, ask, nowMicros);
    }

    /** Handles another host's answer to a token request. */
    public void onGrant(String host, QuotaGrant grant, long nowMicros) {
        advance(nowMicros);
        client.onGrant(host, grant, nowMicros);
    }

    /** Adapts to the passing of time. */
    public void onTime(long nowMicros) {
        if (teams.isEmpty()) {
            return;
        }
        advance(nowMicros);
        client.onTime(nowMicros);
        if (nowMicros >= nextCheckMicros) {
            nextCheckMicros = nowMicros + CHECK_MICROS;
            owner.redefine(nowMicros);
        }
    }

    /** Returns the token requests to send to other hosts, once; those to this host itself are answered here. */
    public List<Sent> takeAsks(long nowMicros) {
        List<Sent> others = new ArrayList<>();
        for (List<Sent> sent = client.takeAsks(); !sent.isEmpty(); sent = client.takeAsks()) {
            for (Sent s : sent) {
                if (s.host().equals(self)) {
                    owner.answer(self, s.ask(), nowMicros).ifPresent(g -> client.onGrant(self, g, nowMicros));
                } else {
                    others.add(s);
                }
            }
        }
        return others;
    }

    /** Returns the decisions about calls that have waited, once. */
    public List<Settled> takeSettled() {
        return client.takeSettled();
    }

    /** Returns the changes of ownership, once. */
    public List<QuotaOwner.Change> takeChanges() {
        List<QuotaOwner.Change> taken = changes;
        changes = new ArrayList<>();
        return taken;
    }

    private void advance(long nowMicros) {
        boolean hasPaused = fleet.takePause(nowMicros);
        if (hasPaused) {
            owner.onPause();
        }
        if (fleet.advance(nowMicros) || hasPaused) {
            changes.addAll(owner.refresh(nowMicros));
        }
    }
}
