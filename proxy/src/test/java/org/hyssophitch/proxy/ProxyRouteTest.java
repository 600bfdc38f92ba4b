package org.hyssophitch.proxy;

import java.io.IOException;
import java.time.Duration;

import okhttp3.Response;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests requests that are matched by a route of the configuration. */
public class ProxyRouteTest extends ProxyFixture {

    /** A route splits its requests between its services by weight and forwards the path unchanged. */
    @Test
    public void routeSplitsRequestsByWeight() throws IOException {
        for (int i = 0; i < 80; i++) {
            try (Response r = send(routed("/a/x?q=1"))) {
                assertEquals(r.code(), 200);
            }
        }
        assertEquals(server.requestLines().size(), 60, 8);
        assertEquals(otherServer.requestLines().size(), 20, 8);
        assertEquals(otherServer.requestLines().get(0), "GET /a/x?q=1 HTTP/1.1");
    }

    /** The longest prefix wins; requests of a route not marked idempotent are sent once, whatever their method. */
    @Test
    public void nonIdempotentRouteIsNotRetried() throws IOException {
        server.respondWith("", RawServer.ResponseMode.CLOSE);
        assertResponse(routed("/a/book/1"), 502, "unknown", "connection-lost");
        assertEquals(server.requestLines().size(), 1);
    }

    @Test
    public void routeTimesOut() throws IOException {
        server.respondWith(OK, RawServer.ResponseMode.SILENT);
        otherServer.respondWith(OK, RawServer.ResponseMode.SILENT);
        long started = System.nanoTime();
        assertResponse(routed("/a/x"), 504, "unknown", "deadline-passed");
        long millis = Duration.ofNanos(System.nanoTime() - started).toMillis();
        assertTrue(millis >= 680 && millis < 700 + 500, "answered after " + millis + " ms");
    }

    @Test
    public void requestWithoutRouteIsRejected() throws IOException {
        assertResponse(routed("/b/x"), 404, "not-run", "no-route");
    }
}
