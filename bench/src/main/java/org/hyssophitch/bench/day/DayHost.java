package org.hyssophitch.bench.day;

import org.hyssophitch.bench.model.ModelEntryHost;
import org.hyssophitch.core.entry.RequestRouter;

/**
 * An entry host of a day: its engine and its routes.
 *
 * @param host the host with its engine
 * @param router finds the route of a request
 */
record DayHost(ModelEntryHost host, RequestRouter router) {

    String zone() {
        return host.zone();
    }

    boolean isDead() {
        return host.isDead();
    }
}
