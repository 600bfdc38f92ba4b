package org.hyssophitch.bench.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.hyssophitch.bench.model.ModelEntryHost;
import org.hyssophitch.bench.model.ModelFleet;
import org.hyssophitch.bench.model.ModelPeers;
import org.hyssophitch.bench.model.VirtualTime;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.standin.RunHistory;

/** One simulation of a {@link CrashPlan}. Not thread-safe. */
public final class CrashRun {

    /** Prefix that makes a request crash the model servers. */
    private static final String CRASHING = "poison";
    /** Time in microseconds after which a host that runs undisturbed has to act on what the fleet knows. */
    private static final long STABILITY_WINDOW_MICROS = 3_000_000;

    private static final int TOLERATED_CRASHES = 3;
    private static final long SERVICE_MICROS = 100_000;
    private static final double REQUESTS_PER_SERVER_AND_SECOND = 8;
    private static final long FIRST_CRASHING_MICROS = 3_000_000;
    private static final long CRASHING_INTERVAL_MICROS = 400_000;
    private static final long RESTART_INTERVAL_MICROS = 700_000;
    private static final long MASS_CRASH_INTERVAL_MICROS = 6_000_000;
    private static final double CRASHED_FRACTION = 0.2;
    private static final double LOSS = 0.33;
    private static final double USUAL_LOSS = 0.01;
    private static final long END_MICROS = 40_000_000;

    private record Send(long micros, boolean isJustStarted) {}

    private final CrashPlan plan;
    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final ModelFleet fleet;
    private final ModelPeers peers;
    private final Map<String, Long> startedMicros = new HashMap<>();
    private final List<Send> sends = new ArrayList<>();
    private final List<Long> crashMicros = new ArrayList<>();
    private int refusedOthers;
    private int crashingRequests;

    private CrashRun(CrashPlan plan, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        this.fleet = new ModelFleet(time, random);
        double loss = plan.faults() == CrashPlan.Faults.LOSS ? LOSS : USUAL_LOSS;
        this.peers = new ModelPeers(time, random.split(), loss);
    }

    /** Simulates a plan; deterministic for a given seed. */
    public static CrashResult simulate(CrashPlan plan, long seed) {
        return new CrashRun(plan, seed).simulate();
    }

    private CrashResult simulate() {
        RunHistory history = new RunHistory() {
            @Override
            public void onStart(String requestId, String server, long nowMicros) {
                if (requestId.startsWith(CRASHING)) {
                    crashMicros.add(nowMicros);
                }
            }
        };
        IntStream.range(0, plan.servers())
                .forEach(i -> fleet.addServer((id, r) -> SERVICE_MICROS * (0.5 + r.nextDouble()), history));
        IntStream.range(0, plan.hosts()).forEach(this::startHost);
        startedMicros.clear();
        fleet.publishHosts();
        fleet.sendRequests(REQUESTS_PER_SERVER_AND_SECOND * plan.servers(), this::onAnswer);
        scheduleFaults();
        time.after(FIRST_CRASHING_MICROS, this::sendCrashing);
        time.runUntil(END_MICROS);
        return new CrashResult(crashMicros.size(), lateRetries(), refusedOthers);
    }

    private void scheduleFaults() {
        switch (plan.faults()) {
            case RESTARTS -> scheduleRestart();
            case MASS_CRASHES -> time.after(FIRST_CRASHING_MICROS - 1, this::crashServers);
            default -> {
                // Loss is a property of the datagrams.
            }
        }
    }

    private void startHost(int index) {
        String name = "h" + index;
        startedMicros.put(name, time.nowMicros());
        ModelPeers.Peer peer = peers.join(name);
        peer.attach(fleet.startHost(index, (now, id, body) -> record(name, now, id, body), peer));
    }

    private void scheduleRestart() {
        time.after(RESTART_INTERVAL_MICROS, () -> {
            startHost(random.nextInt(plan.hosts()));
            fleet.publishHosts();
            scheduleRestart();
        });
    }

    private void crashServers() {
        IntStream.range(0, plan.servers())
                .filter(i -> random.nextDouble() < CRASHED_FRACTION)
                .forEach(i -> fleet.server(i).crash());
        time.after(MASS_CRASH_INTERVAL_MICROS, this::crashServers);
    }

    private void sendCrashing() {
        crashingRequests++;
        fleet.send(CRASHING + crashingRequests, CRASHING, a -> {});
        time.after(CRASHING_INTERVAL_MICROS, this::sendCrashing);
    }

    private void record(String host, long now, String requestId, EventBody body) {
        if (requestId.startsWith(CRASHING) && body instanceof EventBody.ServerChosen) {
            long started = startedMicros.getOrDefault(host, -STABILITY_WINDOW_MICROS);
            sends.add(new Send(now, now - started < STABILITY_WINDOW_MICROS));
        }
    }

    private void onAnswer(ModelEntryHost.Answer answer) {
        refusedOthers += answer.reason() == Reason.REQUEST_CONVICTED ? 1 : 0;
    }

    private int lateRetries() {
        if (crashMicros.size() < TOLERATED_CRASHES) {
            return 0;
        }
        long from = crashMicros.get(TOLERATED_CRASHES - 1) + STABILITY_WINDOW_MICROS;
        return (int) sends.stream()
                .filter(s -> s.micros() > from && !s.isJustStarted())
                .count();
    }
}
