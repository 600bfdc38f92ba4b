package org.hyssophitch.proxy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.http.RequestRules.RequestHead;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;
import org.hyssophitch.wire.report.MetricsText;
import org.hyssophitch.wire.report.TimelineJson;

/**
 * HTTP endpoints that the proxy itself serves: tickets, the timeline and metrics. Not thread-safe; confined to the
 * event loop of the engine.
 */
final class LocalEndpoints {

    private static final int MAX_TICKETS = 100;
    private static final int OK = 200;
    private static final byte[] EMPTY_BODY = {};

    /** Body of the response to a request for tickets. */
    record TicketAnswer(List<String> tickets) {}

    private final CallEngine engine;
    private final ProcessTimeline timeline;
    private final ProxyMetrics metrics;

    LocalEndpoints(CallEngine engine, ProcessTimeline timeline, ProxyMetrics metrics) {
        this.engine = engine;
        this.timeline = timeline;
        this.metrics = metrics;
    }

    /** Returns the response if the request is for one of the endpoints. */
    Optional<HttpReply> find(RequestHead head) {
        return switch (head.method() + ' ' + head.path()) {
            case "POST /tickets" -> Optional.of(tickets(query(head)));
            case "GET /-/timeline" -> Optional.of(timelineEvents(query(head)));
            case "GET /metrics" -> Optional.of(HttpReply.text(MetricsText.of(metrics.registry())));
            default -> Optional.empty();
        };
    }

    private static HttpQuery query(RequestHead head) {
        return HttpQuery.of(head.method(), head.target(), Map.of(), EMPTY_BODY);
    }

    private HttpReply tickets(HttpQuery query) {
        long count = query.parameter("count", 1);
        List<String> tickets = Stream.generate(engine::issueTicket)
                .limit(Math.max(1, Math.min(MAX_TICKETS, count)))
                .map(Ticket::format)
                .toList();
        return HttpReply.json(OK, TimelineJson.record(new TicketAnswer(tickets)));
    }

    private HttpReply timelineEvents(HttpQuery query) {
        String requestId = query.parameter("request", "");
        return HttpReply.json(OK, TimelineJson.events(timeline, query.parameter("since", 0), requestId));
    }
}
