package org.hyssophitch.wire.net;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Request received by an {@link HttpEndpoint}. Immutable.
 *
 * @param method HTTP method
 * @param path decoded path without the query string
 * @param parameters first value of each query parameter
 * @param headers first value of each header, keyed by the name in lower case
 * @param body complete body
 */
public record HttpQuery(
        String method, String path, Map<String, String> parameters, Map<String, String> headers, byte[] body) {

    /** Creates a request from its target, which consists of the encoded path and query string. */
    public static HttpQuery of(String method, String target, Map<String, String> headers, byte[] body) {
        QueryStringDecoder decoded = new QueryStringDecoder(target);
        Map<String, String> parameters = new HashMap<>();
        decoded.parameters().forEach((name, values) -> parameters.put(name, values.get(0)));
        return new HttpQuery(method, decoded.path(), parameters, headers, body);
    }

    /** Returns a query parameter, or the default when it is missing. */
    public String parameter(String name, String defaultValue) {
        return parameters.getOrDefault(name, defaultValue);
    }

    /** Returns a query parameter as a number, or the default when it is missing or not an integer. */
    public long parameter(String name, long defaultValue) {
        try {
            return Long.parseLong(parameter(name, Long.toString(defaultValue)));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns the value of a header; empty when it is missing. */
    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }
}
