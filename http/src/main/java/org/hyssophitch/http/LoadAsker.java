package org.hyssophitch.http;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.wire.duty.WallClock;

/**
 * Asks backend servers for their load, on the same connections that carry requests. Not thread-safe; lives on one
 * event loop.
 */
final class LoadAsker {

    /** Time in milliseconds after which a question counts as failed. */
    private static final long ASK_MILLIS = 250;

    private static final int OK = 200;

    private final CallCarrier carrier;
    private final BackendPools pools;
    private final HeaderDialect dialect;
    private final EventLoop loop;
    private final Set<String> asking = new HashSet<>();

    LoadAsker(CallCarrier carrier, BackendPools pools, HeaderDialect dialect, EventLoop loop) {
        this.carrier = carrier;
        this.pools = pools;
        this.dialect = dialect;
        this.loop = loop;
    }

    /** Asks each server unless a question to it is under way. */
    void ask(CallAction.ProbeLoad action) {
        action.servers().stream().filter(s -> asking.add(s.name())).forEach(s -> pools.of(s)
                .acquire(new Question(s, action.healthPath()), false));
    }

    private final class Question implements BackendUse {

        private final BackendServer server;
        private final String path;
        private final ScheduledFuture<?> timer;
        private BackendConnection connection;
        private HttpResponse answer;
        private boolean isOver;

        private Question(BackendServer server, String path) {
            this.server = server;
            this.path = path;
            this.timer = loop.schedule(this::onTimeout, ASK_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean isAnswer(HttpResponse head) {
            return !dialect.namesRequest(head.headers());
        }

        @Override
        public void onConnected(BackendConnection opened) {
            if (isOver) {
                opened.cancel();
                return;
            }
            connection = opened;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, server.host() + ":" + server.port());
            opened.channel().writeAndFlush(request);
            opened.setRequestWritten();
        }

        @Override
        public void onConnectFailed() {
            end(Optional.empty(), ProbeOutcome.FAILED);
        }

        @Override
        public void onHead(HttpResponse head) {
            answer = head;
        }

        @Override
        public void onContent(HttpContent content) {
            content.release();
        }

        @Override
        public void onComplete() {
            long now = WallClock.nowMicros();
            int status = answer.status().code();
            Optional<LoadReport> report = dialect.load(server.name(), status, answer.headers(), now);
            boolean isOther = !dialect.isFrom(answer.headers(), server);
            if (isOther) {
                end(Optional.empty(), ProbeOutcome.WRONG_INSTANCE);
            } else {
                end(report, status == OK ? ProbeOutcome.ACCEPTING : ProbeOutcome.REFUSING);
            }
        }

        @Override
        public void onBroken(boolean hasHead) {
            end(Optional.empty(), ProbeOutcome.FAILED);
        }

        @Override
        public void onWritable() {
            // A question is written as a whole.
        }

        private void onTimeout() {
            if (!isOver && connection != null) {
                connection.cancel();
            }
            end(Optional.empty(), ProbeOutcome.FAILED);
        }

        private void end(Optional<LoadReport> report, ProbeOutcome outcome) {
            if (isOver) {
                return;
            }
            isOver = true;
            timer.cancel(false);
            asking.remove(server.name());
            carrier.handle(new CallEvent.LoadProbeCompleted(WallClock.nowMicros(), server.name(), report, outcome));
        }
    }
}
