package org.hyssophitch.bench.model;

import java.util.Set;

import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.standin.Deployment;

/** Faults that can be injected into a model run; each affects one backend server or entry host. */
public enum ModelFault {
    /** A server is 20 times slower. */
    STRAGGLER,
    /** A server answers every request with an error at once. */
    FAIL_FAST,
    /** A server sheds every request. */
    SHED,
    /** A server drains and is announced as leaving. */
    DRAIN,
    /** A server crashes and restarts. */
    SERVER_CRASH,
    /** A caller sends a request that crashes every server that runs it. */
    CRASHING_REQUEST,
    /** Idle connections to a server give neither a response nor an error. */
    SILENT_CONNECTIONS,
    /** A server sends old load reports that claim to be current. */
    OLD_REPORTS,
    /** A server reports that it has no requests in flight. */
    FALSE_REPORTS,
    /** An entry host is killed. */
    HOST_KILLED,
    /** An entry host is killed and replaced by one of the same name. */
    HOST_REPLACED;

    private static final double SLOW_FACTOR = 20;
    private static final long REPORT_LAG_MICROS = 500_000;

    /**
     * Injects the fault.
     *
     * @param run run to disturb
     * @param callers callers of the run
     * @param target number that selects the server or entry host
     */
    public void begin(ModelRun run, ModelCallers callers, int target) {
        ModelServer server = server(run, target);
        switch (this) {
            case STRAGGLER -> server.setSlowFactor(SLOW_FACTOR);
            case FAIL_FAST -> server.setFailureRate(1);
            case SHED -> server.setShedding(true);
            case DRAIN -> {
                server.setDraining(true);
                run.announceLeaving(Set.of(server.name()));
            }
            case SERVER_CRASH -> server.crash();
            case CRASHING_REQUEST -> callers.sendCrashingRequest(service(run, target), "content" + target);
            case SILENT_CONNECTIONS -> run.hosts().forEach(h -> h.silenceIdleConnections(server.name()));
            case OLD_REPORTS -> server.setReportLag(REPORT_LAG_MICROS, true);
            case FALSE_REPORTS -> server.setFalseLoad(0);
            case HOST_KILLED -> kill(run, target);
            case HOST_REPLACED -> run.replace(host(run, target));
            default -> throw new UnknownCaseException(this);
        }
    }

    /** Removes all faults from the selected server; crashes and killed hosts are not undone. */
    public void end(ModelRun run, int target) {
        ModelServer server = server(run, target);
        server.setSlowFactor(1);
        server.setFailureRate(0);
        server.setShedding(false);
        server.setDraining(false);
        server.setReportLag(0, false);
        server.setFalseLoad(-1);
        if (this == DRAIN) {
            run.announceLeaving(Set.of());
        }
    }

    private static void kill(ModelRun run, int target) {
        host(run, target).kill();
        run.publishTicketIssuers();
    }

    private static ModelServer server(ModelRun run, int target) {
        return run.server(service(run, target).name() + "-1");
    }

    private static Deployment.ServiceSpec service(ModelRun run, int target) {
        return run.deployment()
                .services()
                .get(target % run.deployment().services().size());
    }

    private static ModelEntryHost host(ModelRun run, int target) {
        return run.hosts().get(target % run.hosts().size());
    }
}
