package org.hyssophitch.http;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Filters hop-by-hop headers, which apply to a single connection only. Stateless. */
final class HopByHopHeaders {

    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopByHopHeaders() {}

    /** Copies the end-to-end headers without {@code Content-Length}, which the caller of this method sets itself. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> listedInConnection = from.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(v -> Stream.of(v.split(",")))
                .map(v -> v.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_HEADERS.contains(name) && !listedInConnection.contains(name)) {
                to.add(h.getKey(), h.getValue());
            }
        }
    }
}
