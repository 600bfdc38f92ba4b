package org.hyssophitch.bench.day;

import org.hyssophitch.bench.model.ModelEntryHost;
import org.hyssophitch.core.entry.RequestRouter;

/**
 * A simulated entry host with its router.
 *
 * @param host model of the host with a real call engine
 * @param router creates the calls of incoming requests
 */
record DayHost(ModelEntryHost host, RequestRouter router) {

    String zone() {
        return host.zone();
    }

    boolean isDead() {
        return host.isDead();
    }
}
