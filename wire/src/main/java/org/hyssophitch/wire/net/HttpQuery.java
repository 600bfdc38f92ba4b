package org.hyssophitch.wire.net;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * One request to a small HTTP endpoint. Immutable.
 *
 * @param method HTTP method
 * @param path path without parameters
 * @param parameters first value of each query parameter
 * @param headers first value of each header, by its name in lower case
 * @param body whole body
 */
public record HttpQuery(
        String method, String path, Map<String, String> parameters, Map<String, String> headers, byte[] body) {

    /** Creates a query from a request's target, the path and parameters as they were sent. */
    public static HttpQuery of(String method, String target, Map<String, String> headers, byte[] body) {
        QueryStringDecoder decoded = new QueryStringDecoder(target);
        Map<String, String> parameters = new HashMap<>();
        decoded.parameters().forEach((name, values) -> parameters.put(name, values.get(0)));
        return new HttpQuery(method, decoded.path(), parameters, headers, body);
    }

    /** Returns a query parameter, or the default. */
    public String parameter(String name, String defaultValue) {
        return parameters.getOrDefault(name, defaultValue);
    }

    /** Returns a query parameter as a number, or the default when it is missing or no number. */
    public long parameter(String name, long defaultValue) {
        try {
            return Long.parseLong(parameter(name, Long.toString(defaultValue)));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Finds a header. */
    public Optional<String> header(String lowerCaseName) {
        return Optional.ofNullable(headers.get(lowerCaseName));
    }
}
