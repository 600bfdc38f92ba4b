package org.hyssophitch.wire.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests which responses the client takes as complete. */
public class HttpClientTest {

    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int PAUSE_MILLIS = 50;
    private static final int REQUEST_BYTES = 16_384;
    private static final int OK = 200;
    private static final int MANY = 1_000;
    private static final int REQUESTS = 3;
    private static final String HALF = "{\"items\":[]";

    private EventLoopGroup group;
    private ServerSocket server;
    private HttpClient client;

    @BeforeMethod
    void start() throws IOException {
        group = EventLoops.create(1);
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        client = new HttpClient(
                (EventLoop) group.next(),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                TIMEOUT_MILLIS,
                c -> {});
    }

    @AfterMethod
    void stop() throws IOException {
        server.close();
        EventLoops.close(group);
    }

    @DataProvider
    Object[][] ends() {
        return new Object[][] {
            {"", true, false},
            {"", false, true},
            {"Content-Length: 100\r\n", true, false},
            {"Content-Length: 100\r\n", false, false},
            {"Transfer-Encoding: chunked\r\n", false, false},
        };
    }

    /** A list of the store without a length that is reset on the way must not pass for the whole list. */
    @Test(dataProvider = "ends")
    public void takesOnlyWholeResponses(String framing, boolean isReset, boolean isWhole) throws Exception {
        for (int i = 0; i < 3; i++) {
            serve(framing, isReset);
            HttpClient.Outcome outcome = call();
            HttpClient.Outcome lost = new HttpClient.Outcome.Failed(HttpClient.Failure.CONNECTION_LOST);
            assertTrue(
                    isWhole ? outcome instanceof HttpClient.Outcome.Answered : outcome.equals(lost),
                    outcome.toString());
        }
    }

    /** Guards against an interim response that is taken for the answer of the store or of another host. */
    @Test
    public void interimResponseIsNotTheAnswer() throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        serve(interim.repeat(2), "Content-Length: " + HALF.length() + "\r\n", false);
        HttpClient.Outcome outcome = call();
        assertTrue(outcome instanceof HttpClient.Outcome.Answered a && a.status() == OK, outcome.toString());
    }

    /** Guards against interim responses without end, which hold a call until its timeout. */
    @Test
    public void interimResponsesWithoutEndLoseTheConnection() throws Exception {
        serve("HTTP/1.1 103 X\r\n\r\n".repeat(MANY), "Content-Length: 100\r\n", false);
        assertEquals(call(), new HttpClient.Outcome.Failed(HttpClient.Failure.CONNECTION_LOST));
    }

    /** A server that has ended its output can't answer another request on the connection. */
    @Test
    public void usesANewConnectionAfterTheServerHasEndedItsOutput() throws Exception {
        for (int i = 0; i < 3; i++) {
            serve("Content-Length: " + HALF.length() + "\r\n", false);
            assertTrue(call() instanceof HttpClient.Outcome.Answered);
            Thread.sleep(PAUSE_MILLIS * 2L);
        }
    }

    @DataProvider
    Object[][] malformedResponses() {
        String length = "Content-Length: " + HALF.length() + "\r\n";
        String chunks = "\r\n" + Integer.toHexString(HALF.length()) + "\r\n" + HALF + "\r\n0\r\n";
        return Stream.of(
                        "HTTP/1.1 000 OK\r\n" + length + "\r\n" + HALF,
                        "HTTP/1.1 0200 OK\r\n" + length + "\r\n" + HALF,
                        "HTTP/2.0 200 OK\r\n" + length + "\r\n" + HALF,
                        "HTTP/1.1 200 a\u0001b\r\n" + length + "\r\n" + HALF,
                        "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + length + "\r\n" + HALF,
                        "HTTP/1.1 200 OK\r\nEpoch x: 9\r\n" + length + "\r\n" + HALF,
                        "HTTP/1.1 200 OK\r\nContent-Length : " + HALF.length() + "\r\n\r\n" + HALF,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n" + chunks + "\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n" + chunks + "\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks + "Bad Name: x\r\n\r\n",
                        "HTTP/1.1 103 X\r\nBad : x\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n" + HALF)
                .map(r -> new Object[] {r})
                .toArray(Object[][]::new);
    }

    /** Guards against a state of the store, or news of another host, that is read from a malformed response. */
    @Test(dataProvider = "malformedResponses")
    public void malformedResponseIsNoAnswer(String response) throws Exception {
        serveBytes(response, false);
        assertEquals(call(), new HttpClient.Outcome.Failed(HttpClient.Failure.MALFORMED));
        serve("Content-Length: " + HALF.length() + "\r\n", false);
        assertTrue(call() instanceof HttpClient.Outcome.Answered, "no answer on the next connection");
    }

    /** What a server sends behind its first response. */
    private record Surplus(String bytes, int delayMillis) {}

    @DataProvider
    Object[][] surpluses() {
        String again = response("/1");
        return Stream.of(
                        again,
                        again.substring(0, 10),
                        "HTTP/1.1 103 X\r\n\r\n" + again,
                        again.repeat(3),
                        "\r\n" + again)
                .flatMap(b -> Stream.of(0, PAUSE_MILLIS).map(d -> new Object[] {new Surplus(b, d)}))
                .toArray(Object[][]::new);
    }

    /** Guards against a second response of the server that passes for the response to the next request. */
    @Test(dataProvider = "surpluses")
    public void responseGivenAgainIsNotTheNextAnswer(Surplus surplus) throws Exception {
        CompletableFuture<Void> written = new CompletableFuture<>();
        serveAll(surplus, written);
        List<String> received = new CopyOnWriteArrayList<>();
        CompletableFuture<Boolean> isDone = new CompletableFuture<>();
        CompletableFuture<Void> goesOn = surplus.delayMillis() == 0 ? CompletableFuture.completedFuture(null) : written;
        group.next().execute(() -> callInTurn(1, goesOn, received, isDone));
        isDone.get(2L * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(
                received,
                IntStream.rangeClosed(1, REQUESTS).mapToObj(i -> "/" + i).toList());
    }

    /** Calls again in the callback, as a watch does, or once the surplus bytes have been written and have arrived. */
    private void callInTurn(
            int request, CompletableFuture<Void> goesOn, List<String> received, CompletableFuture<Boolean> isDone) {
        client.call("GET", "/" + request, new byte[0], TIMEOUT_MILLIS, o -> {
            received.add(
                    o instanceof HttpClient.Outcome.Answered a
                            ? new String(a.body(), StandardCharsets.ISO_8859_1)
                            : o.toString());
            Runnable next = () -> callInTurn(request + 1, goesOn, received, isDone);
            if (request == REQUESTS) {
                isDone.complete(true);
            } else if (goesOn.isDone()) {
                next.run();
            } else {
                goesOn.thenRun(() -> group.next().schedule(next, PAUSE_MILLIS, TimeUnit.MILLISECONDS));
            }
        });
    }

    /** Serves all connections; each response holds the path of its request. */
    private void serveAll(Surplus surplus, CompletableFuture<Void> written) {
        Thread.startVirtualThread(() -> {
            try {
                while (true) {
                    Socket s = server.accept();
                    Thread.startVirtualThread(() -> serveConnection(s, surplus, written));
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
    }

    private static void serveConnection(Socket connection, Surplus surplus, CompletableFuture<Void> written) {
        try (connection) {
            byte[] request = new byte[REQUEST_BYTES];
            for (int n = connection.getInputStream().read(request); n > 0; ) {
                String path = new String(request, 0, n, StandardCharsets.ISO_8859_1).split(" ")[1];
                boolean isFirst = path.equals("/1");
                String first = response(path) + (isFirst && surplus.delayMillis() == 0 ? surplus.bytes() : "");
                write(connection, first);
                if (isFirst && surplus.delayMillis() > 0) {
                    Thread.sleep(surplus.delayMillis());
                    write(connection, surplus.bytes());
                    written.complete(null);
                }
                n = connection.getInputStream().read(request);
                if (n > 0 && isFirst && response(path).startsWith(surplus.bytes())) {
                    write(connection, response(path).substring(surplus.bytes().length()));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The test sees that the response is missing.
        }
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String response(String path) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
    }

    private void serve(String framing, boolean isReset) {
        serve("", framing, isReset);
    }

    private void serve(String before, String framing, boolean isReset) {
        serveBytes(before + "HTTP/1.1 200 OK\r\n" + framing + "\r\n" + HALF, isReset);
    }

    /** Answers one request on one connection, and ends it a little later. */
    private void serveBytes(String response, boolean isReset) {
        Thread.startVirtualThread(() -> {
            try (Socket s = server.accept()) {
                s.getInputStream().read(new byte[REQUEST_BYTES]);
                s.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                s.getOutputStream().flush();
                Thread.sleep(PAUSE_MILLIS);
                s.setSoLinger(isReset, 0);
            } catch (IOException | InterruptedException e) {
                // The test sees that the response is missing.
            }
        });
    }

    private HttpClient.Outcome call() throws Exception {
        CompletableFuture<HttpClient.Outcome> outcome = new CompletableFuture<>();
        group.next()
                .execute(() ->
                        client.call("GET", "/v1/objects/servers", new byte[0], TIMEOUT_MILLIS, outcome::complete));
        return outcome.get(2L * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
