package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.hyssophitch.entry.FakeStore.FailureMode;
import org.tinylog.Logger;

/** Carries out the disruptions of a plan. Thread-safe. */
final class Disruptor {

    private final SoakPlan plan;
    private final SoakFleet fleet;
    private final List<RandomFaults> faults;
    /** Hosts that are stopping, starting or paused: a second signal would hit a process that isn't there. */
    private final Set<HostProcess> busy = ConcurrentHashMap.newKeySet();

    Disruptor(SoakPlan plan, SoakFleet fleet, List<RandomFaults> faults) {
        this.plan = plan;
        this.fleet = fleet;
        this.faults = faults;
    }

    /** Starts all disruptions at their times; returns when the last one is over. */
    void run() throws InterruptedException {
        List<Thread> threads = plan.disruptions().stream()
                .map(d -> Thread.startVirtualThread(() -> runLater(d)))
                .toList();
        for (Thread t : threads) {
            t.join();
        }
    }

    private void runLater(SoakPlan.Timed timed) {
        try {
            Thread.sleep(timed.millis());
            run(timed.disruption());
        } catch (IOException e) {
            Logger.warn("disruption {} failed: {}", timed, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run(Disruption disruption) throws IOException, InterruptedException {
        switch (disruption) {
            case Disruption.Stop s -> stop(s);
            case Disruption.Reload r -> reload(fleet.hosts().get(r.host()));
            case Disruption.Pause p -> pause(fleet.hosts().get(p.host()), p.millis());
            case Disruption.StoreFailure f -> {
                fleet.store().setFailureMode(f.mode());
                Thread.sleep(f.millis());
                fleet.store().setFailureMode(FailureMode.NONE);
            }
            case Disruption.Reconfigure r -> {
                for (int i = 0; i < r.versions(); i++) {
                    fleet.configure(plan.site().routes());
                    Thread.sleep(r.intervalMillis());
                }
            }
            case Disruption.Faults f -> {
                f.servers().forEach(i -> faults.get(i).set(f.fault(), f.share()));
                Thread.sleep(f.millis());
                f.servers().forEach(i -> faults.get(i).set(ServerBehaviour.Fault.NONE, 0));
            }
            case Disruption.Crash c -> {
                StandInServer server = fleet.servers().get(c.server());
                server.close();
                Thread.sleep(c.millis());
                server.open();
            }
            case Disruption.Slowdown s ->
                slowDown(s.servers().stream().map(fleet.servers()::get).toList(), s.factor(), s.millis());
        }
    }

    private void stop(Disruption.Stop s) throws InterruptedException {
        long stopMillis =
                HostSettings.GRACE_MILLIS + s.intervalMillis() * (s.hosts().size() - 1);
        Thread.startVirtualThread(() -> slowDown(fleet.servers(), s.serverSlowdown(), stopMillis));
        List<Thread> restarts = new ArrayList<>();
        for (int i : s.hosts()) {
            HostProcess host = fleet.hosts().get(i);
            if (busy.add(host)) {
                restarts.add(Thread.startVirtualThread(() -> restart(host)));
                Thread.sleep(s.intervalMillis());
            }
        }
        for (Thread t : restarts) {
            t.join();
        }
    }

    private void restart(HostProcess host) {
        try {
            host.terminate();
            if (!host.awaitExit(HostSettings.GRACE_MILLIS)) {
                host.kill();
                host.awaitExit(HostSettings.GRACE_MILLIS);
            }
            host.start();
            host.awaitReady();
        } catch (IOException | IllegalStateException e) {
            Logger.warn("restart of {} failed: {}", host.name(), e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            busy.remove(host);
        }
    }

    /** Leaves out a host that starts, because a process that handles no signals yet ends on SIGHUP. */
    private void reload(HostProcess host) throws IOException {
        if (!busy.contains(host)) {
            host.reload();
        }
    }

    private void pause(HostProcess host, long millis) throws IOException, InterruptedException {
        if (busy.add(host)) {
            host.pause();
            Thread.sleep(millis);
            host.resume();
            busy.remove(host);
        }
    }

    private void slowDown(List<StandInServer> servers, int factor, long millis) {
        servers.forEach(s -> s.setSlowdown(factor));
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        servers.forEach(s -> s.setSlowdown(1));
    }
}
