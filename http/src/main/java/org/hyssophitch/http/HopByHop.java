package org.hyssophitch.http;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Headers that concern one connection only. Stateless. */
final class HopByHop {

    private static final Set<String> NAMES = Set.of(
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

    private HopByHop() {}

    /** Copies the headers that are meant for the other end; the message's length is stated anew. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> named = from.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(v -> Stream.of(v.split(",")))
                .map(v -> v.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!NAMES.contains(name) && !named.contains(name)) {
                to.add(h.getKey(), h.getValue());
            }
        }
    }
}
