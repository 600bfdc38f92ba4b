package org.hyssophitch.bench.model;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.core.control.ListedHost;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.standin.Deployment;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Agents on a network that loses, duplicates and reorders messages, with outages, suspended hosts and partitions. */
public class ModelAgentsTest {

    private static final int HOSTS = 13;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long IN_FORCE_BOUND_MICROS = 5 * MICROS_PER_SECOND;
    private static final long LEAVE_BOUND_MICROS = 3 * MICROS_PER_SECOND;
    private static final long FAILURE_BOUND_MICROS = 3 * MICROS_PER_SECOND;
    private static final long START_MICROS = 10 * MICROS_PER_SECOND;

    @DataProvider
    public Object[][] networks() {
        return new Object[][] {{1L, 0.0, 0.0}, {2L, 0.05, 0.05}, {3L, 0.2, 0.1}, {4L, 0.2, 0.1}};
    }

    @Test(dataProvider = "networks")
    public void configurationIsInForceEverywhereWithinBound(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        for (int i = 0; i < 5; i++) {
            accept(run);
            run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);
            assertTrue(
                    run.isInForceEverywhere(run.store().version()),
                    "version " + run.store().version());
        }
        assertNoVersionRegression(run);
    }

    /** After a store outage right after the write, the hosts that read the configuration pass it on to the others. */
    @Test(dataProvider = "networks")
    public void configurationSpreadsDuringAnOutage(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        accept(run);
        run.time().runUntil(run.time().nowMicros() + 200_000);
        run.store().setDown(true);
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);

        assertTrue(run.isInForceEverywhere(2));
    }

    /** A host that restarts during stale reads or an outage gets the newest version; a stale copy replaces nothing. */
    @Test(dataProvider = "networks")
    public void restartedHostGetsNewestVersion(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        accept(run);
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);
        run.store().setStale(true);
        run.start("entry-004");
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);
        run.store().setDown(true);
        run.start("entry-005");
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);

        assertTrue(run.isInForceEverywhere(2));
        assertNoVersionRegression(run);
    }

    @Test(dataProvider = "networks")
    public void failedHostAndItsReplacementAreDetectedWithinBound(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        run.agent(6).kill();
        assertTrue(
                isReached(run, FAILURE_BOUND_MICROS, run::isMembershipConverged),
                "failure not detected within the bound");

        run.start("entry-006");
        run.time().runUntil(run.time().nowMicros() + 3 * MICROS_PER_SECOND);
        assertTrue(run.isMembershipConverged(), "replacement not known to all");
    }

    /** A suspended host is declared dead; when resumed, it refutes this and gets the version that it missed. */
    @Test(dataProvider = "networks")
    public void resumedHostRejoinsWithNewestVersion(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        run.agent(3).setPaused(true);
        run.time().runUntil(run.time().nowMicros() + 10 * MICROS_PER_SECOND);
        accept(run);
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);
        run.agent(3).setPaused(false);
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);

        assertTrue(run.isInForceEverywhere(2));
        assertTrue(isReached(run, 10 * MICROS_PER_SECOND, run::isMembershipConverged), "resumed host did not rejoin");
        assertNoVersionRegression(run);
    }

    /**
     * Both sides of a partition keep running; after it heals all hosts converge on the newest version, and none returns
     * to an older one.
     */
    @Test(dataProvider = "networks")
    public void hostsConvergeOnNewestVersionAfterPartition(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        for (int i = 0; i < HOSTS; i++) {
            run.agent(i).setPartition(i % 3 == 0 ? 1 : 0);
        }
        run.time().runUntil(run.time().nowMicros() + 10 * MICROS_PER_SECOND);
        accept(run);
        run.time().runUntil(run.time().nowMicros() + 5 * MICROS_PER_SECOND);
        run.running().forEach(a -> a.setPartition(0));
        run.time().runUntil(run.time().nowMicros() + 10 * MICROS_PER_SECOND);

        assertTrue(run.isInForceEverywhere(2));
        assertTrue(run.isMembershipConverged(), "membership did not converge");
        assertNoVersionRegression(run);
    }

    /** Of two writes based on the same version, one is accepted and one conflicts; all hosts apply the accepted one. */
    @Test(dataProvider = "networks")
    public void onlyFirstOfTwoConflictingWritesIsAccepted(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        Optional<Configuration> first = run.accept(configuration("first"), 1);
        Optional<Configuration> second = run.accept(configuration("second"), 1);
        run.time().runUntil(run.time().nowMicros() + IN_FORCE_BOUND_MICROS);

        assertTrue(first.isPresent() && second.isEmpty());
        run.running().forEach(a -> assertEquals(a.engine().configuration().revisionId(), "first"));
    }

    @DataProvider
    public Object[][] leavingSources() {
        return new Object[][] {{1L, true}, {2L, true}, {3L, false}, {4L, false}};
    }

    /** One host learns from the host list or a load report that a server is leaving; all proxies are informed. */
    @Test(dataProvider = "leavingSources")
    public void leavingServerIsKnownToAllProxiesWithinBound(long seed, boolean isFromPlatform) {
        ModelAgents run = started(seed, 0.1, 0.1);
        long now = run.time().nowMicros();
        if (!isFromPlatform) {
            run.setDraining("mastwatch-2");
        }
        AgentEvent event = isFromPlatform
                ? new AgentEvent.HostListRead(now, List.of(new ListedHost("mastwatch-2", "", true)))
                : new AgentEvent.ProbeAnswered(now, run.loadReport("mastwatch-2"));
        run.agent(9).handle(event);

        BooleanSupplier isKnown = () ->
                run.running().stream().allMatch(a -> run.leavingAt(a.host()).contains("mastwatch-2"));
        assertTrue(isReached(run, LEAVE_BOUND_MICROS, isKnown), "leaving server not known to all");
    }

    /** One host reads the platform's host list; all proxies learn of an added and of a removed server. */
    @Test(dataProvider = "networks")
    public void registeredServerIsKnownToAllProxiesWithinBound(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        readHostList(run, 9, List.of());
        readHostList(run, 9, List.of(registered("late-1")));
        assertTrue(
                isReached(run, LEAVE_BOUND_MICROS, () -> isRegistered(run, "late-1", true)),
                "registered server not known to all");

        readHostList(run, 9, List.of());
        assertTrue(
                isReached(run, LEAVE_BOUND_MICROS, () -> isRegistered(run, "late-1", false)),
                "removed server still known");
    }

    /** A host that reads an outdated host list must not restore a server that was removed. */
    @Test(dataProvider = "networks")
    public void outdatedHostListDoesNotRestoreRemovedServer(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        readHostList(run, 9, List.of(registered("late-1")));
        readHostList(run, 9, List.of());
        assertTrue(
                isReached(run, LEAVE_BOUND_MICROS, () -> isRegistered(run, "late-1", false)),
                "removed server still known");
        run.time().runUntil(run.time().nowMicros() + MICROS_PER_SECOND);
        readHostList(run, 2, List.of(registered("late-1")));
        run.time().runUntil(run.time().nowMicros() + 2 * MICROS_PER_SECOND);

        assertTrue(isRegistered(run, "late-1", false), "removed server was restored");
    }

    /** An agent that restarts while the platform is unavailable gets the registered servers from other agents. */
    @Test(dataProvider = "networks")
    public void restartedHostGetsRegisteredServers(long seed, double loss, double duplication) {
        ModelAgents run = started(seed, loss, duplication);
        readHostList(run, 9, List.of());
        readHostList(run, 9, List.of(registered("late-1"), registered("late-2")));
        run.time().runUntil(run.time().nowMicros() + 2 * MICROS_PER_SECOND);
        run.start("entry-004");

        BooleanSupplier isKnown = () -> run.running().stream()
                .filter(a -> a.host().equals("entry-004"))
                .allMatch(a -> a.engine().members().size() >= HOSTS
                        && run.registeredAt(a.host()).containsAll(List.of("late-1", "late-2")));
        assertTrue(isReached(run, IN_FORCE_BOUND_MICROS, isKnown), "registered servers not known after the restart");
    }

    private static void readHostList(ModelAgents run, int host, List<ListedHost> list) {
        run.agent(host).handle(new AgentEvent.HostListRead(run.time().nowMicros(), list));
    }

    private static ListedHost registered(String name) {
        BackendServer server = new BackendServer(name, "10.9.0.1", 9_000, "stornoway", 3, 0, false);
        return new ListedHost(name, "", false, Optional.of(new RegisteredServer("mastwatch", server, 0)));
    }

    private static boolean isRegistered(ModelAgents run, String server, boolean isExpected) {
        return run.running().stream().allMatch(a -> run.registeredAt(a.host()).contains(server) == isExpected);
    }

    @DataProvider
    public Object[][] probeBudgetFaults() {
        return new Object[][] {{"calm"}, {"partition"}, {"restarts"}, {"freeze"}};
    }

    /** Probes stay within the budget per server and in total, even if hosts have different views of the membership. */
    @Test(dataProvider = "probeBudgetFaults")
    public void probesStayWithinTheBudget(String fault) {
        ModelAgents run = started(5, 0.1, 0.1);
        SplittableRandom random = new SplittableRandom(5);
        int seconds = 60;
        for (int s = 0; s < seconds; s++) {
            int host = random.nextInt(HOSTS);
            switch (fault) {
                case "partition" -> run.running().forEach(a -> a.setPartition(random.nextInt(HOSTS)));
                case "restarts" -> run.start(String.format("entry-%03d", host));
                case "freeze" -> run.agent(host).setPaused(s % 2 == 0);
                default -> {}
            }
            run.time().runUntil(run.time().nowMicros() + MICROS_PER_SECOND);
        }
        double elapsed = run.time().nowMicros() / (double) MICROS_PER_SECOND;
        Configuration c = run.agent(0).engine().configuration();
        int total = run.probes().values().stream().mapToInt(Integer::intValue).sum();
        int maxPerServer =
                run.probes().values().stream().mapToInt(Integer::intValue).max().orElse(0);

        assertTrue(total > 0, "no probes were sent");
        assertTrue(total <= c.probeBudget().probesPerSecondTotal() * elapsed, "total probes " + total);
        assertTrue(
                maxPerServer <= c.probeBudget().probesPerSecondPerServer() * elapsed,
                "probes to one server " + maxPerServer);
    }

    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{5}, {15}, {50}};
    }

    /** Control traffic per host stays within 6 KB/s regardless of the number of hosts. */
    @Test(dataProvider = "fleetSizes")
    public void controlTrafficPerHostIsBounded(int hosts) {
        ModelAgents run = new ModelAgents(hosts, Deployment.GLENMORVEN.zones(), 1, 0, 0);
        run.accept(configuration("first"), 0);
        run.time().runUntil(START_MICROS);
        long before = run.bytesSent();
        run.time().runUntil(START_MICROS + 30 * MICROS_PER_SECOND);
        double perHostSecond = (run.bytesSent() - before) / 30.0 / hosts;

        assertTrue(perHostSecond <= 6_000, "bytes per second and host " + perHostSecond);
        assertTrue(run.largestDatagram() <= 1_400, "largest datagram " + run.largestDatagram());
    }

    private static ModelAgents started(long seed, double loss, double duplication) {
        ModelAgents run = new ModelAgents(HOSTS, Deployment.GLENMORVEN.zones(), seed, loss, duplication);
        run.accept(configuration("initial"), 0);
        run.time().runUntil(START_MICROS);
        assertTrue(run.isInForceEverywhere(1), "first version not in force");
        assertTrue(run.running().stream()
                .allMatch(a -> a.engine().members().stream().allMatch(Member::isLive)));
        return run;
    }

    private static void accept(ModelAgents run) {
        Optional<Configuration> accepted = run.accept(
                configuration("revision-" + run.store().version()), run.store().version());
        assertFalse(accepted.isEmpty());
    }

    private static boolean isReached(ModelAgents run, long boundMicros, BooleanSupplier condition) {
        run.time().runUntil(run.time().nowMicros() + boundMicros);
        return condition.getAsBoolean();
    }

    private static void assertNoVersionRegression(ModelAgents run) {
        assertEquals(
                run.all().stream().mapToLong(ModelAgent::versionRegressions).sum(), 0, "older versions in force");
    }

    private static Configuration configuration(String revisionId) {
        return DeploymentConfiguration.of(Deployment.GLENMORVEN).withRevisionId(revisionId);
    }
}
