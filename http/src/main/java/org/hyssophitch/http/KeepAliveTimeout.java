package org.hyssophitch.http;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpResponse;

/** Reads how long a backend server keeps an idle connection open. */
final class KeepAliveTimeout {

    private static final String PARAMETER = "timeout=";
    private static final int MAX_DIGITS = 6;

    private KeepAliveTimeout() {}

    /** Returns the idle timeout in milliseconds; empty if the response states none. */
    static OptionalLong millis(HttpResponse head) {
        String value = head.headers().get("Keep-Alive", "");
        int start = value.indexOf(PARAMETER);
        if (start < 0) {
            return OptionalLong.empty();
        }
        String digits = value.substring(start + PARAMETER.length()).replaceAll("[^0-9].*", "");
        return digits.isEmpty() || digits.length() > MAX_DIGITS
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.SECONDS.toMillis(Long.parseLong(digits)));
    }
}
