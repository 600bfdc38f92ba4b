package org.hyssophitch.wire.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests which answers of the platform count. */
public class PlatformClientTest {

    private static final int REQUEST_BYTES = 16_384;
    private static final String VALUE = "value";
    private static final String LENGTH = "Content-Length: " + VALUE.length() + "\r\n";
    private static final String CHUNKS = "\r\n5\r\n" + VALUE + "\r\n0\r\n";

    private ServerSocket server;
    private PlatformClient client;

    @BeforeMethod
    void start() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        client = new PlatformClient(server.getInetAddress().getHostAddress() + ":" + server.getLocalPort());
    }

    @AfterMethod
    void stop() throws IOException {
        server.close();
    }

    @DataProvider
    Object[][] malformedAnswers() {
        return Stream.of(
                        "HTTP/1.1 000 OK\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 +20 OK\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 600 OK\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 a\u0001b\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/2.0 200 OK\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nETag x: \"7\"\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nETag : \"7\"\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nNothing at all\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nX: a\u0001b\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nContent-Length : " + VALUE.length() + "\r\n\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + LENGTH + CHUNKS + "\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n" + CHUNKS + "\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n" + CHUNKS + "\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + CHUNKS
                                + "\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + CHUNKS + "Bad Name: x\r\n\r\n")
                .map(a -> new Object[] {a})
                .toArray(Object[][]::new);
    }

    /** Guards against a configuration that is read from a malformed answer. */
    @Test(dataProvider = "malformedAnswers")
    public void malformedAnswerIsNone(String answer) {
        serve(answer);
        PlatformResult<byte[]> result = client.get("configuration");
        assertTrue(result instanceof PlatformResult.Unreachable<byte[]>, result.toString());
    }

    @DataProvider
    Object[][] soundAnswers() {
        return Stream.of(
                        "HTTP/1.1 200\r\nETag: \"7\"\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.0 200 a\tb\r\nETag: \"7\" \r\nX:\r\n" + LENGTH + "\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n" + VALUE,
                        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: Chunked\r\n" + CHUNKS
                                + "X-Sum: 1\r\n\r\n")
                .map(a -> new Object[] {a})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "soundAnswers")
    public void soundAnswerCounts(String answer) {
        serve(answer);
        PlatformResult<byte[]> result = client.get("configuration");
        assertTrue(result instanceof PlatformResult.Found<byte[]>, result.toString());
        PlatformResult.Found<byte[]> found = (PlatformResult.Found<byte[]>) result;
        assertEquals(new String(found.value(), StandardCharsets.ISO_8859_1), VALUE);
        assertEquals(found.version(), 7);
    }

    /** Answers one request on one connection, and ends it. */
    private void serve(String answer) {
        Thread.startVirtualThread(() -> {
            try (Socket s = server.accept()) {
                s.getInputStream().read(new byte[REQUEST_BYTES]);
                s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The test sees that the answer is missing.
            }
        });
    }
}
