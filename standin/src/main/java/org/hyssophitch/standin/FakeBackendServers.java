package org.hyssophitch.standin;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.hyssophitch.wire.net.Addresses;
import org.hyssophitch.wire.net.EventLoops;
import org.hyssophitch.wire.net.HttpEndpoint;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.HttpReply;

/**
 * Runs the fake backend servers of a deployment in one process. Thread-safe.
 *
 * <p>{@code POST /faults?server=NAME&...} changes the faults of one server. {@code GET /history} returns the servers
 * that started each request, {@code GET /probes} the number of load probes, and {@code GET /last-start?server=NAME} the
 * time at which a server last started a request.
 */
public final class FakeBackendServers implements AutoCloseable {

    private static final int EVENT_LOOPS = 2;
    private static final int OK = 200;

    private final EventLoopGroup group = EventLoops.create(EVENT_LOOPS);
    private final RunHistory history = new RunHistory();
    private final Map<String, FakeBackendServer> servers = new TreeMap<>();
    private final HttpEndpoint control;

    /** Starts the servers and their control endpoint. */
    public FakeBackendServers(Deployment d, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        d.servers().forEach(s -> {
            EventLoop loop = (EventLoop) group.next();
            FakeBackendServer server = new FakeBackendServer(s, loop, history, random.split());
            server.open();
            servers.put(s.name(), server);
        });
        control = new HttpEndpoint(group, Addresses.parse(d.serverControl()), this::handle);
    }

    /** Returns the history of started requests. */
    public RunHistory history() {
        return history;
    }

    @Override
    public void close() {
        control.close();
        EventLoops.close(group);
    }

    private CompletionStage<HttpReply> handle(HttpQuery q) {
        HttpReply reply =
                switch (q.path()) {
                    case "/faults" -> changeFaults(q);
                    case "/history" -> HttpReply.text(history.format());
                    case "/probes" -> HttpReply.text(Long.toString(history.probes()));
                    case "/last-start" ->
                        HttpReply.text(Long.toString(history.lastStartMicros(q.parameter("server", ""))));
                    default -> HttpReply.notFound();
                };
        return CompletableFuture.completedFuture(reply);
    }

    private HttpReply changeFaults(HttpQuery q) {
        FakeBackendServer server = servers.get(q.parameter("server", ""));
        if (server == null) {
            return HttpReply.notFound();
        }
        server.changeFaults(q);
        return HttpReply.json(OK, "{\"server\":\"" + server.name() + "\"}");
    }
}
