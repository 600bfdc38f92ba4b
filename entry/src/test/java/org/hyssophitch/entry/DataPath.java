package org.hyssophitch.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.core.call.CallEngine;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.EngineSettings;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.call.FleetNews;
import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.CallerLimits;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.QueueRule;
import org.hyssophitch.core.configuration.RegisteredServer;
import org.hyssophitch.core.configuration.RetryRule;
import org.hyssophitch.core.configuration.Route;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.core.configuration.Service;
import org.hyssophitch.core.entry.RequestRouter;
import org.hyssophitch.core.team.Team;
import org.hyssophitch.core.timeline.EventBody;
import org.hyssophitch.core.timeline.EventRecorder;
import org.hyssophitch.http.CallDispatcher;
import org.hyssophitch.http.FrontListener;
import org.hyssophitch.platform.PlatformHeaders;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.FreePorts;
import org.hyssophitch.wire.report.MetricsText;

/** Test fixture: the data path with real sockets and a real call engine, in front of scripted servers. */
final class DataPath implements AutoCloseable {

    static final int ROUTE_TIMEOUT_MILLIS = 900;
    static final int TARGET_LATENCY_MILLIS = 600;
    /** Timeout and target of the route whose requests wait; a busy machine needs less. */
    private static final int PATIENT_MILLIS = 20_000;

    static final CallerLimits LIMITS = new CallerLimits(2_048, 4_000_000, 300, 700);

    private static final int READ_TIMEOUT_MILLIS = 5_000;

    /** Event about an answer to a request that wasn't taken. */
    record Rejection(String requestId, EventBody.AnswerRejected event) {}

    private final EntryMetrics metrics = new EntryMetrics();
    private final EventLoopGroup group = EventLoops.create(1);
    private final EventLoop loop = (EventLoop) group.next();
    private final RequestRouter router = new RequestRouter(new SplittableRandom(1));
    private final List<Rejection> rejections = new CopyOnWriteArrayList<>();
    private final CallDispatcher dispatcher;
    private final FrontListener front;
    private final int port;

    DataPath(CallerLimits limits, ScriptedServer... servers) throws IOException {
        this(limits, new SplittableRandom(2), servers);
    }

    DataPath(CallerLimits limits, RandomGenerator random, ScriptedServer... servers) throws IOException {
        EventLog log = new EventLog(metrics);
        EventRecorder recorder = (now, id, body) -> {
            log.record(now, id, body);
            if (body instanceof EventBody.AnswerRejected r) {
                rejections.add(new Rejection(id, r));
            }
        };
        EngineSettings settings =
                new EngineSettings("h1", "z1", 1).withFleetLimits(new FleetLimits(0.2, 1_000, 1_000_000, 10_000, 1));
        dispatcher = new CallDispatcher(
                new CallEngine(settings, random, recorder),
                loop,
                new PlatformHeaders(),
                CallDispatcher.RESPONSE_BUFFER_BYTES,
                FleetNews.NONE);
        front = new FrontListener(dispatcher, new EntryRules(router, new PlatformHeaders(), metrics, log));
        port = FreePorts.one();
        Configuration c = configuration(limits);
        loop.submit(() -> {
            accept(c);
            dispatcher.handle(
                    new CallEvent.ServersRegistered(WallClock.nowMicros(), Map.of("svc", registered("svc", servers))));
            dispatcher.handle(new CallEvent.FleetChanged(WallClock.nowMicros(), Map.of("z1", 1)));
        });
        front.open(group, new InetSocketAddress("127.0.0.1", port));
    }

    /** Registers a server under its existing name, with the address of another one. */
    void reregister(ScriptedServer from, ScriptedServer to) {
        String name = name(from);
        BackendServer moved = new BackendServer(name, "127.0.0.1", to.port(), "z1", 3, 100, false, name);
        Map<String, List<RegisteredServer>> registered = Map.of("svc", List.of(new RegisteredServer("svc", moved, 0)));
        runOnLoop(() -> dispatcher.handle(new CallEvent.ServersRegistered(WallClock.nowMicros(), registered)));
    }

    /** Registers exactly the given servers. */
    void register(RegisteredServer... servers) {
        Map<String, List<RegisteredServer>> registered = Map.of("svc", List.of(servers));
        runOnLoop(() -> dispatcher.handle(new CallEvent.ServersRegistered(WallClock.nowMicros(), registered)));
    }

    /** Registers servers of the main service, and one of the service behind the route {@code /calm/}. */
    void registerBeside(ScriptedServer calm, ScriptedServer... servers) {
        Map<String, List<RegisteredServer>> registered =
                Map.of("svc", registered("svc", servers), "calm", registered("calm", calm));
        runOnLoop(() -> dispatcher.handle(new CallEvent.ServersRegistered(WallClock.nowMicros(), registered)));
    }

    /** Accepts a configuration that differs from the first one in its version and its teams. */
    void configure(long version, Team... teams) {
        Configuration c = configuration(LIMITS).withVersion(version).withTeams(List.of(teams));
        runOnLoop(() -> accept(c));
    }

    /** Runs a task on the event loop and waits for it. */
    void runOnLoop(Runnable task) {
        EventLoops.run(loop, task);
    }

    /** Returns the number of caller connections with an unfinished request or response. */
    int busyConnections() {
        return EventLoops.call(loop, front::busyConnections);
    }

    /** Returns the events about answers that weren't taken. */
    List<Rejection> rejections() {
        return rejections;
    }

    /** Returns the metrics in the text format. */
    String metrics() {
        return MetricsText.of(metrics.registry());
    }

    FrontListener front() {
        return front;
    }

    CallDispatcher dispatcher() {
        return dispatcher;
    }

    Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", port);
        s.setSoTimeout(READ_TIMEOUT_MILLIS);
        return s;
    }

    /** Sends bytes on a new connection and reads the given number of responses, or until it closes or times out. */
    String exchange(String request, int responses) throws IOException {
        try (Socket s = connect()) {
            return send(s, request, responses);
        }
    }

    /** Sends bytes and reads the given number of responses, or until the connection closes or times out. */
    static String send(Socket s, String request, int responses) throws IOException {
        s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        s.getOutputStream().flush();
        return read(s, responses);
    }

    /** Reads responses; the result ends with {@code <quiet>} after a read timeout, {@code <reset>} after a reset. */
    static String read(Socket s, int responses) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        InputStream in = s.getInputStream();
        byte[] buffer = new byte[65_536];
        try {
            while (countResponses(all) < responses) {
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                all.write(buffer, 0, count);
            }
        } catch (SocketTimeoutException e) {
            all.writeBytes("<quiet>".getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            all.writeBytes("<reset>".getBytes(StandardCharsets.ISO_8859_1));
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    static String get(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nHyssophitch-Request-Id: " + id
                + "\r\nHyssophitch-Deadline-Milliseconds: 3000\r\n\r\n";
    }

    static String post(String path, String id, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nHyssophitch-Request-Id: " + id + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() {
        EventLoops.close(group);
    }

    /** Counts the complete responses; every test response has a Content-Length or is chunked. */
    private static int countResponses(ByteArrayOutputStream bytes) {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        int count = 0;
        int at = 0;
        while (true) {
            int end = text.indexOf("\r\n\r\n", at);
            if (end < 0) {
                return count;
            }
            String head = text.substring(at, end).toLowerCase();
            int body = end + 4;
            if (head.contains("transfer-encoding: chunked")) {
                int last = text.indexOf("0\r\n\r\n", body);
                if (last < 0) {
                    return count;
                }
                at = last + 5;
            } else {
                int l = head.indexOf("content-length:");
                int length = l < 0
                        ? 0
                        : Integer.parseInt(
                                head.substring(l + 15).split("\r\n")[0].trim());
                if (text.length() < body + length) {
                    return count;
                }
                at = body + length;
            }
            count++;
        }
    }

    private void accept(Configuration c) {
        router.accept(c);
        dispatcher.handle(new CallEvent.ConfigurationAccepted(WallClock.nowMicros(), c, router.teams()));
    }

    private static Configuration configuration(CallerLimits limits) {
        return new Configuration(
                1,
                "r1",
                1,
                ProbeBudget.DEFAULT,
                AddressRule.DEFAULT,
                List.of(service("svc"), service("calm")),
                List.of(
                        route("/s/", true),
                        route("/u/", false),
                        patientRoute("/wait/"),
                        calmRoute("/calm/"),
                        route("/open/", true).withAllowAnonymous(true)),
                limits);
    }

    private static Route route(String prefix, boolean idempotent) {
        List<Route.Destination> to = List.of(new Route.Destination("svc", 1));
        return new Route(
                prefix, "h.example", prefix, idempotent, ROUTE_TIMEOUT_MILLIS, TARGET_LATENCY_MILLIS, 2, 1, to);
    }

    private static Service service(String name) {
        return Service.builder(name)
                .routing(RoutingKind.ASKED_LOAD)
                .retry(RetryRule.DEFAULT)
                .queue(new QueueRule(100, 5_000, 0))
                .healthPath("/health")
                .build();
    }

    /** Returns a route to the other service, whose servers fail no request. */
    private static Route calmRoute(String prefix) {
        List<Route.Destination> to = List.of(new Route.Destination("calm", 1));
        return new Route(prefix, "h.example", prefix, true, PATIENT_MILLIS, PATIENT_MILLIS, 2, 1, to);
    }

    /** Returns a route whose requests wait for a server until their timeout. */
    private static Route patientRoute(String prefix) {
        List<Route.Destination> to = List.of(new Route.Destination("svc", 1));
        return new Route(prefix, "h.example", prefix, false, PATIENT_MILLIS, PATIENT_MILLIS, 2, 1, to);
    }

    private static String name(ScriptedServer server) {
        return "i-" + server.port();
    }

    private static List<RegisteredServer> registered(String service, ScriptedServer... servers) {
        return Arrays.stream(servers)
                .map(s -> new BackendServer(name(s), "127.0.0.1", s.port(), "z1", 3, 100, false, name(s)))
                .map(b -> new RegisteredServer(service, b, 0))
                .toList();
    }
}
