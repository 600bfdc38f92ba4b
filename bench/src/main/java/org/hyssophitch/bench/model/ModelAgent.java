package org.hyssophitch.bench.model;

import java.util.List;
import java.util.SplittableRandom;

import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.control.AgentEngine;
import org.hyssophitch.core.control.AgentEvent;
import org.hyssophitch.core.control.ListedHost;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.core.membership.Member;
import org.hyssophitch.core.membership.MemberState;
import org.hyssophitch.core.timeline.EventRecorder;

/**
 * Model of one entry host's agent: a real agent engine on the simulated network, with a proxy that applies every
 * configuration it receives. Not thread-safe; owned by one run.
 */
public final class ModelAgent {

    private static final long TICK_MICROS = 50_000;
    private static final long STORE_POLL_MICROS = 100_000;
    private static final long SEED_RETRY_MICROS = 1_000_000;

    private final String host;
    private final ModelAgents run;
    private final AgentEngine engine;
    private final long incarnation;
    private int partition;
    private boolean isDead;
    private boolean isPaused;
    private long agentVersion;
    private long proxyVersion;
    private long versionRegressions;
    private long nextStorePollMicros;
    private long nextSeedMicros;
    private long eventsHandled;
    private long nanosSpent;

    ModelAgent(String host, String zone, ModelAgents run, SplittableRandom random) {
        this.host = host;
        this.run = run;
        this.incarnation = run.time().nowMicros() + 1;
        Member self = new Member(host, incarnation, 0, MemberState.ALIVE, zone, host, host + "-proxy", 0, false, 0, 0);
        this.engine =
                new AgentEngine(self, random, EventRecorder.NONE, run.time().nowMicros());
    }

    public String host() {
        return host;
    }

    public AgentEngine engine() {
        return engine;
    }

    /** Returns the configuration version in force in the proxy. */
    public long proxyVersion() {
        return proxyVersion;
    }

    /** Returns how often the agent or its proxy replaced its configuration with an older version. */
    public long versionRegressions() {
        return versionRegressions;
    }

    public boolean isDead() {
        return isDead;
    }

    /** Returns the number of events that the engine handled. */
    public long eventsHandled() {
        return eventsHandled;
    }

    /** Returns the wall-clock time in nanoseconds that the engine spent on events. */
    public long nanosSpent() {
        return nanosSpent;
    }

    /** Terminates the process without notifying other hosts. */
    public void kill() {
        isDead = true;
    }

    /** Suspends or resumes the process. */
    public void setPaused(boolean value) {
        isPaused = value;
    }

    /** Assigns the host to a network partition; only hosts of the same partition reach each other. */
    public void setPartition(int value) {
        partition = value;
    }

    int partition() {
        return partition;
    }

    boolean isRunning() {
        return !isDead && !isPaused;
    }

    void start() {
        tick();
    }

    /** Passes an event to the engine and executes its actions, unless the process is dead or suspended. */
    public void handle(AgentEvent event) {
        if (!isRunning()) {
            return;
        }
        long started = System.nanoTime();
        List<AgentAction> actions = engine.handle(event);
        nanosSpent += System.nanoTime() - started;
        eventsHandled++;
        recordVersion();
        actions.forEach(this::execute);
    }

    private void recordVersion() {
        long version = engine.configuration().version();
        if (version < agentVersion) {
            versionRegressions++;
        }
        agentVersion = version;
    }

    private void tick() {
        if (isDead) {
            return;
        }
        long now = run.time().nowMicros();
        if (!isPaused) {
            contactSeeds(now);
            readStore(now);
            handle(new AgentEvent.ProxyReported(
                    now, new ProxyStatus(incarnation, proxyVersion > 0, 0, proxyVersion, List.of(), List.of())));
            handle(new AgentEvent.TimePassed(now));
        }
        run.time().after(TICK_MICROS, this::tick);
    }

    private void contactSeeds(long now) {
        boolean isAlone = engine.members().size() == 1;
        if (isAlone && now >= nextSeedMicros) {
            nextSeedMicros = now + SEED_RETRY_MICROS;
            List<ListedHost> seeds = run.seeds().stream()
                    .map(h -> new ListedHost("seed-" + h, h, false))
                    .toList();
            handle(new AgentEvent.SeedsConfigured(now, seeds));
        }
    }

    private void readStore(long now) {
        boolean isFirst = engine.configuration().version() == 0;
        if (now >= nextStorePollMicros && (isFirst || engine.isWatcher())) {
            nextStorePollMicros = now + STORE_POLL_MICROS;
            run.store().read().ifPresent(c -> handle(new AgentEvent.ConfigurationRead(now, c)));
        }
    }

    private void execute(AgentAction action) {
        switch (action) {
            case AgentAction.Send s -> run.send(this, s);
            case AgentAction.FetchConfiguration f -> run.fetch(this, f);
            case AgentAction.PushConfiguration p -> applyConfiguration(p.configuration());
            case AgentAction.PushUpdate p -> run.onUpdate(this, p.update());
            case AgentAction.Probe p -> {
                run.onProbe(p.server().name());
                LoadReport report = run.loadReport(p.server().name());
                run.time()
                        .after(
                                ModelAgents.MIN_DELAY_MICROS,
                                () -> handle(
                                        new AgentEvent.ProbeAnswered(run.time().nowMicros(), report)));
            }
        }
    }

    private void applyConfiguration(Configuration c) {
        if (c.version() < proxyVersion) {
            versionRegressions++;
        }
        proxyVersion = c.version();
    }
}
