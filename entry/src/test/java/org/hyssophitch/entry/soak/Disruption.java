package org.hyssophitch.entry.soak;

import java.util.List;

import org.hyssophitch.entry.FakeStore.FailureMode;

/** Something that happens to hosts, servers or store during a soak. */
sealed interface Disruption {

    /** Hosts get SIGTERM one after the other, and start again when they have ended. */
    record Stop(List<Integer> hosts, long intervalMillis, int serverSlowdown) implements Disruption {}

    /** A host gets SIGHUP. */
    record Reload(int host) implements Disruption {}

    /** A host's process doesn't run for a while. */
    record Pause(int host, long millis) implements Disruption {}

    /** The store fails in some way for a while. */
    record StoreFailure(FailureMode mode, long millis) implements Disruption {}

    /** The operator writes new versions of the configuration. */
    record Reconfigure(int versions, long intervalMillis) implements Disruption {}

    /** Servers spoil a share of their answers for a while. */
    record Faults(List<Integer> servers, ServerBehaviour.Fault fault, double share, long millis)
            implements Disruption {}

    /** A server crashes and comes back. */
    record Crash(int server, long millis) implements Disruption {}

    /** Servers take a multiple of their usual time for a while. */
    record Slowdown(List<Integer> servers, int factor, long millis) implements Disruption {}
}
