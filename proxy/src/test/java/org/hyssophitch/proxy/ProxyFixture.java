package org.hyssophitch.proxy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.hyssophitch.agent.Agent;
import org.hyssophitch.agent.AgentSettings;
import org.hyssophitch.document.DocumentStore;
import org.hyssophitch.standin.FakePlatform;
import org.hyssophitch.wire.net.FreePorts;
import org.hyssophitch.wire.platform.PlatformClient;
import org.hyssophitch.wire.report.CallHeaders;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Base class of tests that run a proxy with its agent, a fake platform and two raw backend servers. */
abstract class ProxyFixture {

    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    static final String TRUNCATED = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello";
    static final String TRUNCATED_CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    static final String UNAVAILABLE_RETRY_NOW =
            "HTTP/1.1 503 Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n";
    static final String UNAVAILABLE_NOT_RUN =
            "HTTP/1.1 503 Unavailable\r\nHyssophitch-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
    static final String HOST = "entry-01";
    static final int STALL_MILLIS = 2_000;
    static final String ORIGINAL_RETRY_AFTER = "Seen-Retry-After";

    private final OkHttpClient caller = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .addNetworkInterceptor(ProxyTest::hideRetryAfter)
            .readTimeout(Duration.ofSeconds(8))
            .build();
    RawServer server;
    RawServer otherServer;
    String proxyAddress;
    String platformAddress;
    String agentHttp;
    private FakePlatform platform;
    private Agent agent;
    private Proxy proxy;

    @BeforeClass
    public void open() throws IOException, InterruptedException {
        server = new RawServer(OK, RawServer.ResponseMode.KEEP_OPEN);
        otherServer = new RawServer(OK, RawServer.ResponseMode.KEEP_OPEN);
        platformAddress = "127.0.0.1:" + FreePorts.one();
        String agentAddress = "127.0.0.1:" + FreePorts.one();
        agentHttp = "127.0.0.1:" + FreePorts.one();
        proxyAddress = "127.0.0.1:" + FreePorts.one();
        platform = new FakePlatform(platformAddress);
        new DocumentStore(new PlatformClient(platformAddress)).apply(document(), "test", 0);
        agent = new Agent(new AgentSettings(
                HOST, "z1", agentAddress, agentHttp, proxyAddress, platformAddress, List.of(), 50, 500));
        agent.start();
        proxy = new Proxy(new ProxySettings(HOST, "z1", proxyAddress, agentAddress, 500));
        proxy.start();
        awaitConfiguration();
    }

    @AfterClass
    public void close() throws IOException {
        proxy.stop();
        agent.stop();
        platform.close();
        server.close();
        otherServer.close();
    }

    @BeforeMethod
    public void reset() {
        server.respondWith(OK, RawServer.ResponseMode.KEEP_OPEN);
        otherServer.respondWith(OK, RawServer.ResponseMode.KEEP_OPEN);
        server.requestLines().clear();
        otherServer.requestLines().clear();
    }

    void assertResponse(Request request, int status, String outcome, String reason) throws IOException {
        try (Response r = send(request)) {
            assertEquals(
                    r.code() + " " + r.header(CallHeaders.OUTCOME) + " " + r.header(CallHeaders.REASON),
                    status + " " + outcome + " " + reason);
            assertTrue(r.body().string().contains("\"reason\":\"" + reason + "\""));
        }
    }

    /** Sends a booking request, reads the first 1,000 bytes of the response, and resets the connection. */
    void disconnectDuringResponse(String ticket) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(booking(ticket).getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(socket.getInputStream().readNBytes(1_000).length, 1_000);
            socket.setSoLinger(true, 0);
        }
    }

    Socket connect() throws IOException {
        int colon = proxyAddress.indexOf(':');
        return new Socket(proxyAddress.substring(0, colon), Integer.parseInt(proxyAddress.substring(colon + 1)));
    }

    static String booking(String ticket) {
        return "POST /services/s1/booking HTTP/1.1\r\nHost: proxy\r\nContent-Length: 1\r\n" + CallHeaders.REQUEST_ID
                + ": " + ticket + "\r\n\r\n1";
    }

    String reasonOf(Request request) throws IOException {
        try (Response r = send(request)) {
            return r.header(CallHeaders.REASON, "");
        }
    }

    OkHttpClient client() {
        return caller;
    }

    Response send(Request request) throws IOException {
        String url = request.url().toString().replace("http://proxy", "http://" + proxyAddress);
        return caller.newCall(request.newBuilder().url(url).build()).execute();
    }

    /** Hides the Retry-After header from OkHttp, which would otherwise retry the request itself. */
    static Response hideRetryAfter(Interceptor.Chain chain) throws IOException {
        Response r = chain.proceed(chain.request());
        String value = r.header("Retry-After", "");
        return r.newBuilder()
                .removeHeader("Retry-After")
                .header(ORIGINAL_RETRY_AFTER, value)
                .build();
    }

    static Request get(String path) {
        return new Request.Builder().url("http://proxy" + path).build();
    }

    static Request routed(String path) {
        return get(path).newBuilder().header("Host", "read.example").build();
    }

    static Request post(String path, String requestId) {
        return get(path)
                .newBuilder()
                .header(CallHeaders.REQUEST_ID, requestId)
                .post(RequestBody.create("1".getBytes(), null))
                .build();
    }

    String requestTicket() throws IOException {
        Request request = get("/tickets")
                .newBuilder()
                .post(RequestBody.create(new byte[0], null))
                .build();
        try (Response r = send(request)) {
            return r.body().string().replaceAll(".*\"(t~[^\"]+)\".*", "$1");
        }
    }

    void awaitConfiguration() throws IOException, InterruptedException {
        for (int i = 0; i < 200; i++) {
            try (Response r = send(get("/services/s1/ready"))) {
                if (r.isSuccessful()) {
                    return;
                }
            }
            Thread.sleep(50);
        }
        throw new AssertionError("the configuration did not come into force");
    }

    String document() {
        return """
                addresses: {keep-seconds: 1}
                routes:
                  - name: safe
                    host: read.example
                    path-prefix: /a/
                    idempotent: true
                    timeout-ms: 700
                    destinations: [{service: s1, weight: 3}, {service: s2, weight: 1}]
                  - {name: unsafe, host: read.example, path-prefix: /a/book/, destinations: [{service: s1}]}
                services:
                  - {name: registered, servers: []}
                  - name: s2
                    servers:
                      - {name: b2, address: "127.0.0.1:%d", zone: z1, slots: 100, connection-limit: 5000}
                  - name: s1
                    queue: {stall-ms: %d}
                    servers:
                      - {name: b1, address: "127.0.0.1:%d", zone: z1, slots: 100, connection-limit: 5000}
                """
                .formatted(otherServer.port(), STALL_MILLIS, server.port());
    }
}
