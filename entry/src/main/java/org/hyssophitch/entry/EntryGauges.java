package org.hyssophitch.entry;

import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.http.CallDispatcher;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.wire.report.JsonLineWriter;

/** Gauges of the data path of one entry host. Stateless after {@link #register}. */
final class EntryGauges {

    private final EntryMetrics metrics;
    private final CallDispatcher dispatcher;
    private final FrontListener front;
    private final RequestRouter router;

    EntryGauges(EntryMetrics metrics, CallDispatcher dispatcher, FrontListener front, RequestRouter router) {
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.front = front;
        this.router = router;
    }

    /** Registers the gauges, which are read at each scrape. */
    void register() {
        metrics.registerGauge(
                "hyssophitch_log_lines_lost", "log lines lost because their ring was full", JsonLineWriter::dropped);
        metrics.registerGauge(
                "hyssophitch_calls_in_flight", "requests without a final answer", dispatcher::activeCalls);
        metrics.registerGauge(
                "hyssophitch_backend_connections", "connections to backend servers", dispatcher::backendConnections);
        metrics.registerGauge(
                "hyssophitch_upload_bytes", "bytes of request bodies not passed on yet", dispatcher::uploadBytes);
        metrics.registerGauge("hyssophitch_quotas_owned", "teams whose quota this host owns", dispatcher::ownedQuotas);
        metrics.registerGauge("hyssophitch_caller_connections", "connections of callers", front::connections);
        metrics.registerGauge(
                "hyssophitch_callers_left_unread",
                "callers that left while their connection wasn't read",
                front::leftUnread);
        metrics.registerGauge(
                "hyssophitch_cold_servers",
                "backend servers that are limited while they are cold",
                dispatcher::coldServers);
        metrics.registerGauge(
                "hyssophitch_configuration_version", "version of the configuration in force", router::version);
    }
}
