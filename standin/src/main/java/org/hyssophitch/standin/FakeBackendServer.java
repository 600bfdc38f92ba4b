package org.hyssophitch.standin;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.hyssophitch.wire.concurrent.WallClock;
import org.hyssophitch.wire.net.HttpQuery;
import org.hyssophitch.wire.net.Transports;
import org.hyssophitch.wire.report.CallHeaders;
import org.hyssophitch.wire.report.LoadHeaders;

/**
 * Fake backend server for tests, with a few slots, a bounded queue, a connection limit and fault injection.
 * Thread-safe, because all state is confined to one event loop.
 */
final class FakeBackendServer {

    private static final int MAX_QUEUED = 60;
    private static final int MAX_BODY_BYTES = 50_000_000;
    private static final String CRASH_PATH = "/poison";
    private static final long RESTART_DELAY_MILLIS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double WARM_UP_FACTOR = 5;
    private static final long WARM_UP_MICROS = 500_000;

    private record Job(ChannelHandlerContext context, String requestId, int size) {}

    private record LoadSample(long sampledMicros, int inFlight) {}

    private final Deployment.Server spec;
    private final EventLoop loop;
    private final RunHistory history;
    private final SplittableRandom random;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Set<Channel> connections = new HashSet<>();
    private final Set<Channel> silentConnections = new HashSet<>();
    private final Set<Channel> running = new HashSet<>();
    private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
    private ServerFaults faults = ServerFaults.NONE;
    private Channel listener;
    private long startedMicros;

    FakeBackendServer(Deployment.Server spec, EventLoop loop, RunHistory history, SplittableRandom random) {
        this.spec = spec;
        this.loop = loop;
        this.history = history;
        this.random = random;
    }

    String name() {
        return spec.name();
    }

    void open() {
        ChannelFuture binding = new ServerBootstrap()
                .group(loop)
                .channel(Transports.serverChannel(loop))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        c.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Handler());
                    }
                })
                .bind(new InetSocketAddress(spec.host(), spec.port()));
        listener = binding.channel();
        if (!loop.inEventLoop()) {
            binding.syncUninterruptibly();
        }
        startedMicros = WallClock.nowMicros();
    }

    /**
     * Changes the injected faults. {@code silent=true} makes the open connections stop responding, {@code crash=true}
     * crashes the server.
     */
    void changeFaults(HttpQuery q) {
        loop.execute(() -> {
            faults = faults.with(q);
            if (q.parameter("silent", "false").equals("true")) {
                silentConnections.addAll(connections);
            }
            if (q.parameter("crash", "false").equals("true")) {
                crash();
            }
        });
    }

    private void onRequest(ChannelHandlerContext context, FullHttpRequest request) {
        if (silentConnections.contains(context.channel())) {
            return;
        }
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (uri.path().equals("/load")) {
            history.onProbe();
            respond(context, HttpResponseStatus.OK, new byte[0], false);
        } else if (faults.isDraining() || faults.isShedding() || queue.size() >= MAX_QUEUED) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], true);
        } else if (faults.isFailingFast()) {
            respond(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, new byte[0], false);
        } else {
            queue.addLast(createJob(context, request, uri));
            startQueued();
        }
    }

    private Job createJob(ChannelHandlerContext context, FullHttpRequest request, QueryStringDecoder uri) {
        String id = request.headers().get(CallHeaders.REQUEST_ID, "unnamed");
        int size = uri.parameters().containsKey("size")
                ? Integer.parseInt(uri.parameters().get("size").get(0))
                : spec.service().responseBytes();
        return new Job(context, uri.path().endsWith(CRASH_PATH) ? CRASH_PATH : id, size);
    }

    private void startQueued() {
        while (running.size() < Deployment.SLOTS_PER_SERVER && !queue.isEmpty()) {
            start(queue.pollFirst());
        }
    }

    private void start(Job job) {
        history.onStart(job.requestId(), spec.name(), WallClock.nowMicros());
        if (job.requestId().equals(CRASH_PATH)) {
            crash();
            return;
        }
        Channel channel = job.context().channel();
        running.add(channel);
        loop.schedule(() -> finish(job, channel), workMicros(), TimeUnit.MICROSECONDS);
    }

    private void finish(Job job, Channel channel) {
        if (!running.remove(channel)) {
            return;
        }
        if (!silentConnections.contains(channel)) {
            respond(job.context(), HttpResponseStatus.OK, ResponseContent.of(job.requestId(), job.size()), false);
        }
        startQueued();
    }

    private long workMicros() {
        double mean = spec.service().meanServiceMillis() * MICROS_PER_MILLI * faults.slowFactor();
        boolean isWarmingUp = WallClock.nowMicros() - startedMicros < WARM_UP_MICROS;
        return (long) (-Math.log(1 - random.nextDouble()) * mean * (isWarmingUp ? WARM_UP_FACTOR : 1));
    }

    private void respond(ChannelHandlerContext context, HttpResponseStatus status, byte[] body, boolean isNotRun) {
        boolean isTruncated = faults.isTruncating() && body.length > 1;
        byte[] sent = isTruncated ? Arrays.copyOf(body, body.length / 2) : body;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(sent));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        addLoadHeaders(response);
        if (isNotRun) {
            response.headers().set(CallHeaders.OUTCOME, CallHeaders.NOT_RUN);
        }
        addStatements(response, isNotRun);
        context.writeAndFlush(response).addListener(f -> {
            if (isTruncated) {
                context.close();
            }
        });
    }

    private void addStatements(DefaultFullHttpResponse response, boolean isNotRun) {
        if (faults.limitPerSecond() > 0) {
            response.headers().set(LoadHeaders.LIMIT_PER_SECOND, Double.toString(faults.limitPerSecond()));
        }
        if (isNotRun && faults.retryAfterSeconds() > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Double.toString(faults.retryAfterSeconds()));
        }
    }

    private void addLoadHeaders(DefaultFullHttpResponse response) {
        long now = WallClock.nowMicros();
        loadSamples.addLast(new LoadSample(now, running.size() + queue.size()));
        long lag = faults.loadLagMillis() * MICROS_PER_MILLI;
        while (loadSamples.size() > 1 && loadSamples.getFirst().sampledMicros() < now - lag) {
            loadSamples.removeFirst();
        }
        LoadSample sample = loadSamples.getFirst();
        int load = faults.falseLoad() >= 0 ? faults.falseLoad() : sample.inFlight();
        response.headers().setInt(LoadHeaders.IN_FLIGHT, load);
        if (!faults.isHidingAge()) {
            response.headers().set(LoadHeaders.AGE_MILLIS, (now - sample.sampledMicros()) / MICROS_PER_MILLI);
        }
        response.headers().set(LoadHeaders.DRAINING, Boolean.toString(faults.isDraining()));
    }

    /** Drops all connections and requests, and refuses connections until the restart. */
    private void crash() {
        queue.clear();
        running.clear();
        listener.close();
        Set.copyOf(connections).forEach(Channel::close);
        connections.clear();
        silentConnections.clear();
        loop.schedule(this::open, RESTART_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (connections.size() >= spec.connectionLimit()) {
                context.close();
                return;
            }
            connections.add(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            onRequest(context, request);
        }

        /** Cancels the request of a closed connection. */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
            silentConnections.remove(context.channel());
            queue.removeIf(j -> j.context().channel() == context.channel());
            if (running.remove(context.channel())) {
                startQueued();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
