package org.hyssophitch.http;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.hyssophitch.core.call.Reason;

/** Accepts, answers or rejects a request by its head. Not thread-safe; confined to one event loop. */
final class HeadEvaluator {

    private final RequestRules rules;
    private final FrontListener listener;

    HeadEvaluator(RequestRules rules, FrontListener listener) {
        this.rules = rules;
        this.listener = listener;
    }

    /** Returns whether a request names one host and a path. */
    static boolean isValid(CallerExchange exchange, HttpRequest request) {
        return hosts(request).size() == 1 && exchange.target().startsWith("/");
    }

    /** Accepts, answers or rejects a request. */
    void evaluate(CallerExchange exchange, HttpRequest request) {
        if (!isValid(exchange, request)) {
            exchange.reject(Reason.BAD_REQUEST, 0, "one Host header and a path are needed");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > rules.limits().maxBodyBytes()) {
            exchange.reject(Reason.BODY_TOO_LARGE, 0, "");
            return;
        }
        RequestRules.RequestHead head = new RequestRules.RequestHead(
                RequestTarget.hostName(hosts(request).getFirst()),
                exchange.target(),
                exchange.requestId(),
                request.method().name(),
                request.headers());
        switch (rules.evaluate(head)) {
            case RequestRules.Verdict.Refused r ->
                exchange.reject(r.reason(), listener.retryAfterMillis(r.reason()), r.detail());
            case RequestRules.Verdict.Answered a -> exchange.reply(a.reply());
            case RequestRules.Verdict.Accepted a -> exchange.accept(a);
        }
    }

    private static List<String> hosts(HttpRequest request) {
        return request.headers().getAll(HttpHeaderNames.HOST);
    }
}
