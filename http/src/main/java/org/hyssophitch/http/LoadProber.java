package org.hyssophitch.http;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.hyssophitch.core.call.CallAction;
import org.hyssophitch.core.call.CallEvent;
import org.hyssophitch.core.call.CallEvent.AnswerSource;
import org.hyssophitch.core.call.CallEvent.ProbeOutcome;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.wire.concurrent.WallClock;

/**
 * Sends load probes to backend servers over the connection pools that also carry requests. Not thread-safe; confined to
 * one event loop.
 */
final class LoadProber {

    /** Time in milliseconds after which a probe counts as failed. */
    private static final long PROBE_TIMEOUT_MILLIS = 250;

    private static final int HTTP_OK = 200;

    private final CallDispatcher dispatcher;
    private final BackendPools pools;
    private final HeaderConventions headerConventions;
    private final EventLoop loop;
    private final Set<String> inFlight = new HashSet<>();

    LoadProber(CallDispatcher dispatcher, BackendPools pools, HeaderConventions headerConventions, EventLoop loop) {
        this.dispatcher = dispatcher;
        this.pools = pools;
        this.headerConventions = headerConventions;
        this.loop = loop;
    }

    /** Probes each server that has no probe in flight. */
    void probe(CallAction.ProbeLoad action) {
        action.servers().stream().filter(s -> inFlight.add(s.name())).forEach(s -> pools.of(s)
                .acquire(new LoadProbe(s, action.healthPath()), false));
    }

    /** Returns a health request to a server. */
    static FullHttpRequest request(BackendServer server, String path) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, server.host() + ":" + server.port());
        return request;
    }

    private final class LoadProbe implements BackendExchange {

        private final BackendServer server;
        private final String path;
        private final ScheduledFuture<?> timer;
        private BackendConnection connection;
        private HttpResponse responseHead;
        private long sentMicros;
        private boolean isEnded;

        private LoadProbe(BackendServer server, String path) {
            this.server = server;
            this.path = path;
            this.timer = loop.schedule(this::onTimeout, PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean isHead() {
            return false;
        }

        @Override
        public String requestId() {
            return "";
        }

        /** A response with a request id belongs to an earlier request, because a probe is sent without an id. */
        @Override
        public ResponseMatch match(HttpResponse head) {
            if (!headerConventions.isWellFormed(head.headers())) {
                return ResponseMatch.MALFORMED;
            }
            if (headerConventions.hasRequestId(head.headers())) {
                return ResponseMatch.FOREIGN;
            }
            return headerConventions.isUnidentifiedRefusal(head.status().code(), head.headers())
                    ? ResponseMatch.UNIDENTIFIED_REFUSAL
                    : ResponseMatch.ANSWER;
        }

        @Override
        public void onConnected(BackendConnection newConnection) {
            if (isEnded) {
                newConnection.cancel();
                return;
            }
            connection = newConnection;
            sentMicros = WallClock.nowMicros();
            newConnection.channel().writeAndFlush(request(server, path));
            newConnection.setRequestWritten();
        }

        @Override
        public void onConnectFailed() {
            end(Optional.empty(), ProbeOutcome.FAILED);
        }

        @Override
        public void onResponseHead(HttpResponse head) {
            responseHead = head;
        }

        @Override
        public void onContent(HttpContent content) {
            content.release();
        }

        @Override
        public void onComplete() {
            long now = WallClock.nowMicros();
            int status = responseHead.status().code();
            Optional<LoadReport> report =
                    headerConventions.loadReport(server.name(), status, responseHead.headers(), now);
            boolean isOtherInstance = !headerConventions.isFromServer(responseHead.headers(), server);
            if (!isOtherInstance) {
                dispatcher.handle(new CallEvent.ServerAnswered(
                        now,
                        sentMicros,
                        server.name(),
                        AnswerSource.LOAD_PROBE,
                        headerConventions.statements(status, responseHead.headers())));
            }
            if (isOtherInstance) {
                end(Optional.empty(), ProbeOutcome.WRONG_INSTANCE);
            } else {
                end(report, status == HTTP_OK ? ProbeOutcome.ACCEPTING : ProbeOutcome.REFUSING);
            }
        }

        @Override
        public void onConnectionLost(boolean hasHead) {
            end(Optional.empty(), ProbeOutcome.FAILED);
        }

        @Override
        public void onWritable() {
            // A probe request is written at once, so there is nothing to resume.
        }

        private void onTimeout() {
            if (!isEnded && connection != null) {
                connection.cancel();
            }
            end(Optional.empty(), ProbeOutcome.FAILED);
        }

        private void end(Optional<LoadReport> report, ProbeOutcome outcome) {
            if (isEnded) {
                return;
            }
            isEnded = true;
            timer.cancel(false);
            inFlight.remove(server.name());
            dispatcher.handle(new CallEvent.LoadProbeCompleted(WallClock.nowMicros(), server.name(), report, outcome));
        }
    }
}
