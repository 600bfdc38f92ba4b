package org.hyssophitch.proxy;

import java.io.IOException;
import java.util.Collections;
import java.util.Locale;
import java.util.Set;

import io.javalin.http.Context;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.internal.http.HttpMethod;
import okio.BufferedSink;
import okio.Okio;
import org.hyssophitch.wire.report.CallHeaders;

/** Makes the request that every attempt of a call sends, but for its server and deadline. Stateless. */
final class RequestTemplate {

    private static final String PLACE = "http://server";
    private static final Set<String> NOT_FORWARDED = Set.of(
            "host",
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "proxy-authorization",
            "accept-encoding");

    private RequestTemplate() {}

    /**
     * Makes the template of a call.
     *
     * @throws IllegalArgumentException when the caller's path or headers can't be sent on
     */
    static Request of(Context context, CallerRequest request) {
        String encoding = context.header("Accept-Encoding");
        Headers headers = forwarded(context)
                .set("Accept-Encoding", encoding == null ? "identity" : encoding)
                .set(CallHeaders.REQUEST_ID, request.call().requestId())
                .set(CallHeaders.DEPTH, Integer.toString(request.call().depth() + 1))
                .build();
        return new Request.Builder()
                .url(PLACE + request.target())
                .headers(headers)
                .method(request.method(), body(context, request))
                .build();
    }

    private static Headers.Builder forwarded(Context context) {
        Headers.Builder headers = new Headers.Builder();
        Collections.list(context.req().getHeaderNames()).stream()
                .filter(n -> !NOT_FORWARDED.contains(n.toLowerCase(Locale.ROOT)))
                .forEach(n ->
                        Collections.list(context.req().getHeaders(n)).forEach(v -> headers.addUnsafeNonAscii(n, v)));
        return headers;
    }

    private static RequestBody body(Context context, CallerRequest request) {
        if (request.hasStreamedBody()) {
            return new StreamedBody(context);
        }
        byte[] bytes = request.body();
        boolean needsBody = HttpMethod.requiresRequestBody(request.method());
        return bytes == null && !needsBody ? null : RequestBody.create(bytes == null ? new byte[0] : bytes, null);
    }

    /** Body of a large request, read from the caller's connection once. */
    private static final class StreamedBody extends RequestBody {
        private final Context context;

        private StreamedBody(Context context) {
            this.context = context;
        }

        @Override
        public MediaType contentType() {
            return null;
        }

        @Override
        public long contentLength() {
            return context.req().getContentLengthLong();
        }

        @Override
        public boolean isOneShot() {
            return true;
        }

        @Override
        public void writeTo(BufferedSink sink) throws IOException {
            sink.writeAll(Okio.source(context.req().getInputStream()));
        }
    }
}
