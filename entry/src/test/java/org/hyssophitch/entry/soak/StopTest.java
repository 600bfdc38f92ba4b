package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Callers that pipeline safe requests around the SIGTERM of a host that runs as a process. */
public class StopTest {

    private static final int CALLERS = 12;
    private static final int SERVERS = 24;
    private static final int USUAL_WORK_MILLIS = 360;
    private static final double WORK_SPREAD = 0.3;
    private static final int SLOWDOWN = 4;
    private static final int DEPTH = 6;
    private static final long SEED = 41;
    /** Time in milliseconds in which a change of the configuration is in force. */
    private static final long APPLY_MILLIS = 2_000;

    private static final long POLL_MILLIS = 10;
    private static final long LAST_SEND_MILLIS = 3_300;

    private SoakFleet fleet;
    private List<CallerConnection> connections;
    private int requests;
    private long timeoutMillis;
    private long deadlineMillis;

    @BeforeMethod
    public void setUp() throws IOException, InterruptedException {
        Path logs = HostCommand.root().resolve("target/soak/stop-" + System.currentTimeMillis());
        fleet = new SoakFleet(1, logs);
        fleet.addServers(SERVERS, i -> ServerBehaviour.sound());
        timeoutMillis = 3_000;
        deadlineMillis = 6_000;
        fleet.configure(List.of(route()));
        fleet.startHosts();
        connections = new ArrayList<>();
        requests = 0;
        for (int i = 0; i < CALLERS; i++) {
            connections.add(connect());
        }
        connections.forEach(c -> send(c, USUAL_WORK_MILLIS));
        while (connections.stream().anyMatch(c -> c.pendingRequests() > 0)) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    @AfterMethod
    public void tearDown() throws IOException {
        connections.forEach(CallerConnection::close);
        fleet.close();
    }

    /** Guards against a host that ends while finished answers wait behind one whose server is still at work. */
    @Test
    public void answersThatAreReadyBehindASlowOneReachTheirCaller() throws Exception {
        long start = terminate();
        sleepUntil(start, 2_900);
        connections.forEach(c -> {
            send(c, 2_950);
            IntStream.range(0, 3).forEach(i -> send(c, 300));
        });
        assertNothingLost();
    }

    /** Guards against a host that still takes requests when it can no longer wait for their answers. */
    @Test
    public void requestsThatAreTakenLateGetTheirAnswers() throws Exception {
        long start = terminate();
        sleepUntil(start, 3_080);
        for (CallerConnection c : connections) {
            send(c, 2_700);
            Thread.sleep(9);
        }
        assertNothingLost();
    }

    /** Work of servers that have slowed down, timeout and deadline, as on two sites of the users. */
    @DataProvider
    public Object[][] sites() {
        return new Object[][] {{2_700, 3_000, 6_000}, {2_900, 4_000, 8_000}};
    }

    /** Guards against both, with callers that pipeline all the time and servers that slow down at the SIGTERM. */
    @Test(dataProvider = "sites")
    public void pipelinedRequestsAreAnsweredWhileServersSlowDown(int maxWork, long timeout, long deadline)
            throws Exception {
        timeoutMillis = timeout;
        deadlineMillis = deadline;
        fleet.configure(List.of(route()));
        Thread.sleep(APPLY_MILLIS);
        long start = terminate();
        fleet.servers().forEach(s -> s.setSlowdown(SLOWDOWN));
        Random random = new Random(SEED);
        while (fleet.journal().millis() - start < LAST_SEND_MILLIS) {
            connections.stream()
                    .filter(c -> c.pendingRequests() < DEPTH)
                    .forEach(c -> send(c, Math.min(maxWork / SLOWDOWN, workMillis(random))));
            Thread.sleep(POLL_MILLIS);
        }
        assertNothingLost();
    }

    private long terminate() {
        fleet.hosts().get(0).terminate();
        return fleet.journal().millis();
    }

    private void assertNothingLost() throws InterruptedException {
        assertTrue(fleet.hosts().get(0).awaitExit(HostSettings.GRACE_MILLIS + 1_000), "the host has ended");
        for (CallerConnection c : connections) {
            c.awaitEnd();
        }
        Judge judge = new Judge(fleet.journal().events());
        List<Violation> violations = judge.violations();
        String text = violations.stream()
                .map(v -> "\n" + v.rule() + ": " + v.detail())
                .collect(Collectors.joining());
        assertTrue(
                violations.isEmpty(),
                "%d of %d requests: %s"
                        .formatted(violations.size(), judge.stories().size(), text));
    }

    /** Returns work with the users' mean and spread. */
    private static int workMillis(Random random) {
        return (int) (USUAL_WORK_MILLIS * Math.exp(WORK_SPREAD * random.nextGaussian()));
    }

    private Route route() {
        return new Route("trace", "safe", timeoutMillis, 2);
    }

    private void send(CallerConnection c, int workMillis) {
        requests++;
        String path = "/trace/" + workMillis + '/' + requests;
        c.send(new Request("r" + requests, "GET", path, true, timeoutMillis, deadlineMillis, 0));
    }

    private void sleepUntil(long start, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, start + millis - fleet.journal().millis()));
    }

    private CallerConnection connect() throws IOException {
        return new CallerConnection(fleet.hosts().get(0).settings(), fleet.journal(), new CallerConnection.Listener() {
            @Override
            public void onAnswer(Request request, HttpMessage answer) {
                // The journal has the answer.
            }

            @Override
            public void onUnanswered(Request request, Event.ConnectionEnd end) {
                // The journal has the end.
            }
        });
    }
}
