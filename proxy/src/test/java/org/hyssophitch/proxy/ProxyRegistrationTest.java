package org.hyssophitch.proxy;

import java.io.IOException;
import java.time.Duration;

import okhttp3.Request;
import okhttp3.Response;
import org.hyssophitch.standin.SelfRegistration;
import org.hyssophitch.wire.report.CallHeaders;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests backend servers that register themselves with the platform, through agent and proxy over real sockets. */
public class ProxyRegistrationTest extends ProxyFixture {

    private static final String PATH = "/services/registered/x";
    /** The fake platform drops a registration 4.5 s after its last renewal; watchers poll every second. */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(9);

    private static final Duration DISCOVERY_TIMEOUT = Duration.ofSeconds(5);

    /** A server that registers itself receives calls until its registration expires. */
    @Test
    public void registeredServerReceivesCallsUntilItsRegistrationExpires() throws IOException, InterruptedException {
        assertResponse(get(PATH), 503, "not-run", "no-server");
        try (SelfRegistration registration = new SelfRegistration(platformAddress)) {
            registration.register("b9", "registered", "127.0.0.1:" + otherServer.port(), "z1", 3);
            registration.register("wrong", "registered", "nowhere", "z1", 3);
            assertTrue(isReachedWithin("completed", DISCOVERY_TIMEOUT), "the registered server received no calls");
            try (Response r = send(get(PATH))) {
                assertEquals(r.header(CallHeaders.SERVER), "b9");
            }
            assertTrue(agentStatus().contains("\"registeredServers\":[{\"service\":\"registered\""), agentStatus());
        }
        assertTrue(
                isReachedWithin("no-server", REMOVAL_TIMEOUT),
                "the server still received calls after its registration expired");
    }

    private String agentStatus() throws IOException {
        try (Response r = client().newCall(new Request.Builder()
                        .url("http://" + agentHttp + "/status")
                        .build())
                .execute()) {
            return r.body().string();
        }
    }

    private boolean isReachedWithin(String expected, Duration timeout) throws IOException, InterruptedException {
        long end = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() < end) {
            try (Response r = send(get(PATH))) {
                if (expected.equals(r.header(CallHeaders.REASON)) || expected.equals(r.header(CallHeaders.OUTCOME))) {
                    return true;
                }
            }
            Thread.sleep(50);
        }
        return false;
    }
}
