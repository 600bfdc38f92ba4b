package org.hyssophitch.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import org.hyssophitch.core.atmostonce.Ticket;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.Reason;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.control.ProxyStatus;
import org.hyssophitch.core.control.ReportedLoad;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.ProcessTimeline;
import org.hyssophitch.wire.duty.Pause;
import org.hyssophitch.wire.duty.WallClock;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.report.MetricsText;
import org.hyssophitch.wire.report.TimelineJson;
import org.tinylog.Logger;

/**
 * The proxy of one entry host. Thread-safe; runs from {@link #start} until {@link #stop}.
 */
public final class Proxy {

    private static final int MAX_TICKETS = 100;
    private static final long POLL_MILLIS = 20;
    private static final long SETTLE_MILLIS = 250;
    private static final List<HandlerType> METHODS = List.of(
            HandlerType.GET,
            HandlerType.HEAD,
            HandlerType.POST,
            HandlerType.PUT,
            HandlerType.PATCH,
            HandlerType.DELETE,
            HandlerType.OPTIONS,
            HandlerType.QUERY);

    /** Answer to a caller that asks for tickets. */
    record TicketAnswer(List<String> tickets) {}

    private final ProxySettings settings;
    private final long incarnation = WallClock.nowMicros();
    private final ProcessTimeline timeline;
    private final CallDecisions decisions;
    private final BackendClient client = new BackendClient();
    private final AgentLink agent;
    private final AnswerWriter answers;
    private final ProxyMetrics metrics = new ProxyMetrics();
    private final AtomicLong callIds = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Javalin server;
    private volatile boolean isStopping;
    private volatile boolean isListening;
    private volatile Configuration inForce = Configuration.NONE;

    /**
     * Creates a proxy that does not listen yet.
     *
     * @param settings settings of the process
     */
    public Proxy(ProxySettings settings) {
        this.settings = settings;
        this.timeline = new ProcessTimeline("proxy/" + settings.host(), settings.zone(), settings.timelineEvents());
        EngineSettings engineSettings = new EngineSettings(settings.host(), settings.zone(), incarnation);
        this.decisions = new CallDecisions(new CallEngine(engineSettings, new SplittableRandom(), timeline));
        this.agent = new AgentLink(settings.agent(), decisions, timeline.clock(), this::status);
        this.answers = new AnswerWriter(settings.host(), agent);
        this.server = Javalin.create(this::configure);
    }

    /** Starts the duties and listens. */
    public void start() {
        decisions.start();
        agent.start();
        InetSocketAddress listen = Addresses.parse(settings.listen());
        server.start(listen.getHostString(), listen.getPort());
        isListening = true;
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("started"));
        Logger.info("proxy {} listens on {}", settings.host(), settings.listen());
    }

    /** Stops as planned: leaves the address answers, serves as long as callers keep them, finishes all in flight. */
    public void stop() {
        isStopping = true;
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("stopping"));
        Logger.info("proxy {} leaves the address answers", settings.host());
        Pause.millis(TimeUnit.SECONDS.toMillis(inForce.addresses().keepSeconds()) + SETTLE_MILLIS);
        while (inFlight.get() > 0) {
            Pause.millis(POLL_MILLIS);
        }
        timeline.record(WallClock.nowMicros(), "", new EventBody.ProcessStage("stopped"));
        server.stop();
        agent.close();
        decisions.close();
        Logger.info("proxy {} stopped with no request in flight", settings.host());
    }

    private void configure(JavalinConfig config) {
        config.concurrency.useVirtualThreads = true;
        config.startup.showJavalinBanner = false;
        config.startup.startupWatcherEnabled = false;
        config.http.compressionStrategy = CompressionStrategy.NONE;
        config.http.maxRequestSize = Long.MAX_VALUE;
        METHODS.forEach(m -> {
            config.routes.addHttpHandler(m, "/services/{service}", this::handleCall);
            config.routes.addHttpHandler(m, "/services/{service}/<path>", this::handleCall);
        });
        config.routes.post("/tickets", this::handleTickets);
        config.routes.get("/-/timeline", this::handleTimeline);
        config.routes.get(
                "/metrics", c -> c.contentType("text/plain; version=0.0.4").result(MetricsText.of(metrics.registry())));
    }

    private void handleCall(Context context) throws InterruptedException {
        inFlight.incrementAndGet();
        long started = WallClock.nowMicros();
        try {
            CallerRequest request = CallerRequest.from(context, callIds.incrementAndGet());
            if (request.lacksTicket(context)) {
                answers.refuse(context, Reason.TICKET_REQUIRED, "POST /tickets issues them");
            } else {
                new Exchange(context, request, decisions, client, answers, () -> isStopping).run();
            }
        } catch (CallerRequest.MalformedRequestException | IllegalArgumentException e) {
            answers.refuse(context, Reason.BAD_REQUEST, e.getMessage());
        } catch (IOException e) {
            Logger.debug("caller's connection failed: {}", e.toString());
        } finally {
            metrics.onCall(context, WallClock.nowMicros() - started);
            inFlight.decrementAndGet();
        }
    }

    private void handleTickets(Context context) {
        int count = context.queryParamAsClass("count", Integer.class).getOrDefault(1);
        int bounded = Math.max(1, Math.min(MAX_TICKETS, count));
        List<String> tickets = decisions
                .ask(e -> Stream.generate(e::issueTicket)
                        .limit(bounded)
                        .map(Ticket::format)
                        .toList())
                .join();
        context.contentType("application/json").result(TimelineJson.record(new TicketAnswer(tickets)));
    }

    private void handleTimeline(Context context) {
        long since = context.queryParamAsClass("since", Long.class).getOrDefault(0L);
        String requestId = context.queryParam("request");
        context.contentType("application/json")
                .result(TimelineJson.events(timeline, since, requestId == null ? "" : requestId));
    }

    private ProxyStatus status() {
        return decisions.ask(this::statusOf).join();
    }

    private ProxyStatus statusOf(CallEngine engine) {
        inForce = engine.configuration();
        long now = WallClock.nowMicros();
        List<ReportedLoad> loads = engine.servers().values().stream()
                .flatMap(s -> s.report().stream())
                .filter(r -> r.ageMicros(now) < TimeUnit.SECONDS.toMicros(1))
                .map(r -> ReportedLoad.of(r, now))
                .toList();
        boolean isAccepting = isListening && !isStopping && inForce.version() > 0;
        return new ProxyStatus(
                incarnation, isAccepting, inFlight.get(), inForce.version(), loads, decisions.takeSuspicions());
    }
}
