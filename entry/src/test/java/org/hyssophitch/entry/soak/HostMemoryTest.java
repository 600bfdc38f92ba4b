package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hyssophitch.entry.ScriptedServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Bodies that take much memory, at a host that runs as a process with the memory of the deploy file. */
public class HostMemoryTest {

    private static final int CALLERS = 40;
    private static final int MANY_CALLERS = 400;
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int DIRECTORY_BODY_BYTES = 1_900_000;
    private static final int HEAD_BYTES = 6_000;
    private static final int PIPELINED = 16;
    private static final int SERVERS = 3;
    private static final int BLOCK_CHUNKS = 10_000;
    private static final long SEND_MILLIS = 4_000;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int TIMEOUT_MILLIS = 3_000;
    /** Fewer than the bytes that are kept for further attempts. */
    private static final int UPLOAD_BYTES = 60_000;

    private static final int LOG_MILLIS = 1_000;
    private static final int REQUESTS_AFTERWARDS = 20;
    private static final int RECEIVE_BYTES = 4_096;
    private static final int STATUS_LINE_BYTES = 12;
    private static final String CHUNK = "1\r\nx\r\n";
    private static final byte[] CHUNKS = CHUNK.repeat(BLOCK_CHUNKS).getBytes(StandardCharsets.ISO_8859_1);

    private final List<ScriptedServer> servers = new CopyOnWriteArrayList<>();
    private final List<Socket> callers = new CopyOnWriteArrayList<>();
    private SoakFleet fleet;
    private volatile boolean isSending;

    @BeforeMethod
    public void setUp() throws IOException, InterruptedException {
        Path logs = HostCommand.root().resolve("target/soak/memory-" + System.currentTimeMillis());
        fleet = new SoakFleet(1, logs);
        fleet.configure(List.of(
                new Route("read", "safe", TIMEOUT_MILLIS, 2), new Route("upload", "unsafe", TIMEOUT_MILLIS, 1)));
        for (int i = 0; i < SERVERS; i++) {
            ScriptedServer server = new ScriptedServer(ScriptedServer.ok("own"));
            servers.add(server);
            fleet.store().put("servers", "server-" + i, registration(server));
        }
        fleet.startHosts();
        isSending = true;
    }

    @AfterMethod
    public void tearDown() throws IOException {
        for (Socket s : callers) {
            s.close();
        }
        callers.clear();
        for (ScriptedServer s : servers) {
            s.close();
        }
        servers.clear();
        fleet.close();
    }

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {{200}, {500}, {404}};
    }

    /** Guards against a host that keeps an object for each small piece of a body and runs out of memory. */
    @Test(dataProvider = "statuses")
    public void hostOutlivesAnswersInSmallChunks(int status) throws Exception {
        servers.forEach(s -> s.setScript((r, c) -> sendChunks(r, c, status)));
        for (int i = 0; i < CALLERS; i++) {
            Socket s = connect();
            s.getOutputStream().write(head("GET /read/0/x", "r" + i).getBytes(StandardCharsets.ISO_8859_1));
        }
        Thread.sleep(SEND_MILLIS);
        isSending = false;
        assertServing();
    }

    /** Guards against the same for the bodies of requests, before they are passed on. */
    @Test
    public void hostOutlivesUploadsInSmallChunks() throws Exception {
        servers.forEach(s -> s.setScript((r, c) -> true));
        byte[] upload = CHUNK.repeat(UPLOAD_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < CALLERS; i++) {
            Socket s = connect();
            String head =
                    head("POST /upload/0/x", "u" + i).replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
            Thread.startVirtualThread(() -> send(s, head.getBytes(StandardCharsets.ISO_8859_1), upload));
        }
        Thread.sleep(SEND_MILLIS);
        servers.forEach(s -> s.setScript(ScriptedServer.ok("own")));
        assertServing();
    }

    /** Guards against callers whose large bodies for an address that takes none fill the memory. */
    @Test
    public void hostOutlivesBodiesSentToItsDirectory() throws Exception {
        String[] address = fleet.hosts().get(0).settings().directory().split(":");
        byte[] body = new byte[DIRECTORY_BODY_BYTES];
        for (int i = 0; i < CALLERS; i++) {
            Socket s = new Socket(address[0], Integer.parseInt(address[1]));
            callers.add(s);
            String head = "POST /v1/addresses HTTP/1.1\r\nHost: x\r\nContent-Length: " + (body.length + 1) + "\r\n\r\n";
            Thread.startVirtualThread(() -> send(s, head.getBytes(StandardCharsets.ISO_8859_1), body));
        }
        Thread.sleep(SEND_MILLIS);
        assertServing();
    }

    /** Guards against callers that read nothing and whose answers, each within its bound, fill the memory together. */
    @Test
    public void hostOutlivesCallersThatDontRead() throws Exception {
        String body = "x".repeat(ANSWER_BYTES);
        servers.forEach(s -> s.setScript(ScriptedServer.ok(body)));
        for (int i = 0; i < MANY_CALLERS; i++) {
            Socket s = connect();
            send(s, head("GET /read/0/x", "r" + i).getBytes(StandardCharsets.ISO_8859_1));
        }
        Thread.sleep(SEND_MILLIS);
        assertServing();
    }

    /** Guards against uploads that, each within its bound, fill the memory together before they are passed on. */
    @Test
    public void hostOutlivesManyUnfinishedUploads() throws Exception {
        byte[] body = new byte[UPLOAD_BYTES];
        for (int i = 0; i < MANY_CALLERS * 2; i++) {
            Socket s = connect();
            String length = "\r\nContent-Length: " + (body.length + 1) + "\r\n\r\n";
            String head = head("POST /upload/0/x", "u" + i).replace("\r\n\r\n", length);
            Thread.startVirtualThread(() -> send(s, head.getBytes(StandardCharsets.ISO_8859_1), body));
        }
        Thread.sleep(SEND_MILLIS);
        assertServing();
    }

    /** Guards against pipelined requests whose large heads fill the memory while their calls wait. */
    @Test
    public void hostOutlivesPipelinedRequestsWithLargeHeads() throws Exception {
        servers.forEach(s -> s.setScript((r, c) -> {
            Thread.sleep(SEND_MILLIS);
            return false;
        }));
        String padding = "\r\nPadding: " + "p".repeat(HEAD_BYTES) + "\r\n\r\n";
        for (int i = 0; i < MANY_CALLERS; i++) {
            Socket s = connect();
            String requests =
                    head("GET /read/0/x", "r" + i).replace("\r\n\r\n", padding).repeat(PIPELINED);
            Thread.startVirtualThread(() -> send(s, requests.getBytes(StandardCharsets.ISO_8859_1)));
        }
        Thread.sleep(SEND_MILLIS);
        assertServing();
    }

    private static void send(Socket s, byte[]... parts) {
        try {
            for (byte[] part : parts) {
                s.getOutputStream().write(part);
            }
        } catch (IOException e) {
            // The host may refuse a body.
        }
    }

    private void assertServing() throws Exception {
        for (Socket s : callers) {
            s.close();
        }
        servers.forEach(s -> s.setScript(ScriptedServer.ok("own")));
        HostProcess host = fleet.hosts().get(0);
        assertTrue(host.isAlive(), "the host has ended");
        Thread.sleep(LOG_MILLIS);
        assertEquals(host.logLines("OutOfMemory"), List.of());
        for (int i = 0; i < REQUESTS_AFTERWARDS; i++) {
            Socket s = connect();
            s.getOutputStream().write(head("GET /read/0/x", "after" + i).getBytes(StandardCharsets.ISO_8859_1));
            byte[] answer = s.getInputStream().readNBytes(STATUS_LINE_BYTES);
            assertEquals(new String(answer, StandardCharsets.ISO_8859_1), "HTTP/1.1 200");
        }
    }

    private boolean sendChunks(ScriptedServer.Request r, Socket c, int status) throws IOException {
        ScriptedServer.write(
                c,
                "HTTP/1.1 " + status + " X\r\nHyssophitch-Request-Id: " + r.id()
                        + "\r\nHyssophitch-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (isSending) {
            c.getOutputStream().write(CHUNKS);
        }
        return false;
    }

    private Socket connect() throws IOException {
        Socket s = new Socket();
        s.setReceiveBufferSize(RECEIVE_BYTES);
        s.connect(fleet.hosts().get(0).settings().frontAddress());
        s.setSoTimeout(READ_TIMEOUT_MILLIS);
        callers.add(s);
        return s;
    }

    private static String head(String line, String id) {
        return line + " HTTP/1.1\r\nHost: " + Request.HOST_NAME + "\r\nHyssophitch-Request-Id: " + id + "\r\n\r\n";
    }

    private static String registration(ScriptedServer server) {
        return """
               {"address":"127.0.0.1:%d","born":1,"information":{"service":"%s","zone":"%s","slots":300},
                "status":{"state":"ready","sequence":1,"cold_remaining_ms":0}}
               """
                .formatted(server.port(), SoakFleet.SERVICE, HostSettings.ZONES.get(0));
    }
}
