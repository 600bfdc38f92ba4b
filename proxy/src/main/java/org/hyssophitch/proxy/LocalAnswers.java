package org.hyssophitch.proxy;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.http.RequestRules.RequestHead;
import org.hyssophitch.wire.net.HttpReply;
import org.hyssophitch.wire.report.MetricsText;
import org.hyssophitch.wire.report.TimelineJson;

/**
 * Answers of the proxy itself: tickets, the time line and metrics. Not thread-safe; lives on the event loop of the
 * engine.
 */
final class LocalAnswers {

    private static final int MAX_TICKETS = 100;
    private static final int OK = 200;

    /** Answer to a caller that asks for tickets. */
    record TicketAnswer(List<String> tickets) {}

    private final CallEngine engine;
    private final ProcessTimeline timeline;
    private final ProxyMetrics metrics;

    LocalAnswers(CallEngine engine, ProcessTimeline timeline, ProxyMetrics metrics) {
        this.engine = engine;
        this.timeline = timeline;
        this.metrics = metrics;
    }

    /** Finds the answer to a request for the proxy itself. */
    Optional<HttpReply> find(RequestHead head) {
        return switch (head.method() + ' ' + head.path()) {
            case "POST /tickets" -> Optional.of(tickets(head));
            case "GET /-/timeline" -> Optional.of(events(head));
            case "GET /metrics" -> Optional.of(HttpReply.text(MetricsText.of(metrics.registry())));
            default -> Optional.empty();
        };
    }

    private HttpReply tickets(RequestHead head) {
        long count = number(head, "count", 1);
        List<String> tickets = Stream.generate(engine::issueTicket)
                .limit(Math.max(1, Math.min(MAX_TICKETS, count)))
                .map(Ticket::format)
                .toList();
        return HttpReply.json(OK, TimelineJson.record(new TicketAnswer(tickets)));
    }

    private HttpReply events(RequestHead head) {
        String requestId = parameter(head, "request").orElse("");
        return HttpReply.json(OK, TimelineJson.events(timeline, number(head, "since", 0), requestId));
    }

    private static long number(RequestHead head, String name, long defaultValue) {
        return parameter(head, name)
                .filter(v -> v.matches("[0-9]{1,18}"))
                .map(Long::parseLong)
                .orElse(defaultValue);
    }

    private static Optional<String> parameter(RequestHead head, String name) {
        return new QueryStringDecoder(head.target())
                .parameters().getOrDefault(name, List.of()).stream().findFirst();
    }
}
