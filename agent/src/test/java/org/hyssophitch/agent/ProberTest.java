package org.hyssophitch.agent;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.control.AgentAction;
import org.hyssophitch.core.load.LoadReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests which answers to load probes count. */
public class ProberTest {

    private static final int REQUEST_BYTES = 4_096;
    private static final int MAX_WAIT_MILLIS = 2_000;
    private static final String SOUND = "HTTP/1.1 200 OK\r\nLoad-In-Flight: 2\r\nContent-Length: 0\r\n\r\n";

    @DataProvider
    Object[][] malformedAnswers() {
        return Stream.of(
                        SOUND.replace("200", "000"),
                        SOUND.replace("200", "+20"),
                        SOUND.replace("OK", "O\u0001K"),
                        SOUND.replace("Content-Length:", "Bad Name: x\r\nContent-Length:"),
                        SOUND.replace("Content-Length:", "Nothing at all\r\nContent-Length:"),
                        SOUND.replace("Content-Length: 0", "Transfer-Encoding: xchunked"))
                .map(a -> new Object[] {a})
                .toArray(Object[][]::new);
    }

    /** The sound answer behind each malformed one shows that the probe before has ended without a report. */
    @Test(dataProvider = "malformedAnswers")
    public void malformedAnswerReportsNoLoad(String answer) throws Exception {
        BlockingQueue<LoadReport> reports = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                Prober prober = new Prober(reports::add)) {
            serve(server, List.of(answer.replace("Flight: 2", "Flight: 1"), SOUND));
            AgentAction.Probe probe = new AgentAction.Probe(
                    new BackendServer("s", "127.0.0.1", server.getLocalPort(), "z1", 3, 100, false), "/health");
            prober.start();
            prober.submit(probe);
            prober.submit(probe);
            Optional<LoadReport> first = Optional.ofNullable(reports.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS));
            assertEquals(first.map(LoadReport::inFlight), Optional.of(2));
        }
    }

    /** Gives each answer on a connection of its own. */
    private static void serve(ServerSocket server, List<String> answers) {
        Thread.startVirtualThread(() -> {
            for (String answer : answers) {
                try (Socket s = server.accept()) {
                    s.getInputStream().read(new byte[REQUEST_BYTES]);
                    s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                } catch (IOException e) {
                    // The test sees that the answer is missing.
                }
            }
        });
    }
}
