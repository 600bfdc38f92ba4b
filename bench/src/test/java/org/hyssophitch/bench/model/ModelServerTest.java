package org.hyssophitch.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.hyssophitch.bench.model.ModelServer.Reply;
import org.hyssophitch.standin.RunHistory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Slowdown, queueing and lost answers of the model server. */
public class ModelServerTest {

    private static final long SERVICE_MICROS = 100_000;
    private static final long END_MICROS = 10_000_000;
    private static final ServerBehaviour STEADY =
            new ServerBehaviour(3, 2, false, 0.8, 1.7, 0, 4, 300_000, 3_000_000, 2);

    private VirtualTime time;
    private TreeMap<String, Long> ends;
    private List<Reply> replies;

    @BeforeMethod
    public void setUp() {
        time = new VirtualTime();
        ends = new TreeMap<>();
        replies = new ArrayList<>();
    }

    /** The third request takes the last slot and from then on slows down all three. */
    @Test
    public void requestInLastSlotSlowsDownAllRequests() {
        ModelServer server = server(STEADY);
        send(server, "a", 0);
        send(server, "b", 0);
        send(server, "c", 50_000);
        time.runUntil(END_MICROS);

        assertEquals(ends.get("a").longValue(), 50_000 + (long) (50_000 * 1.7));
        assertEquals(ends.get("b"), ends.get("a"));
        long expectedEnd = ends.get("a") + (long) ((SERVICE_MICROS - 85_000 / 1.7));
        assertEquals(ends.get("c").longValue(), expectedEnd, 2);
    }

    @Test
    public void shedsRequestsBeyondQueueLimit() {
        ModelServer server = server(STEADY);
        for (int i = 0; i < 7; i++) {
            send(server, "r" + i, 0);
        }
        time.runUntil(END_MICROS);

        assertEquals(replies.stream().filter(r -> r == Reply.SHED).count(), 2);
        assertEquals(replies.stream().filter(r -> r == Reply.ANSWERED).count(), 5);
    }

    @Test
    public void silentServerDoesNotAnswerRequestsBeyondQueueLimit() {
        ModelServer server = server(new ServerBehaviour(3, 2, true, 0.8, 1.7, 0, 4, 300_000, 3_000_000, 2));
        for (int i = 0; i < 7; i++) {
            send(server, "r" + i, 0);
        }
        time.runUntil(END_MICROS);

        assertEquals(replies.size(), 5);
    }

    @Test
    public void warmingUpServerTakesTwiceAsLongAndReportsIt() {
        ModelServer server = server(STEADY);
        server.startWarmUp();
        assertEquals(server.report().slowdown(), 2.0, 0.0);
        send(server, "a", 0);
        time.runUntil(END_MICROS);

        assertEquals(ends.get("a").longValue(), 2 * SERVICE_MICROS);
        assertEquals(server.remainingWarmUpMicros(), 0);
        assertEquals(server.report().slowdown(), 1.0, 0.0);
    }

    /** The answer is lost after the request ran, so the caller can't tell whether it ran. */
    @Test
    public void requestWithLostAnswerHasRun() {
        RunHistory runs = new RunHistory();
        ModelServer server =
                new ModelServer("s", "zone", STEADY, (id, r) -> SERVICE_MICROS, time, runs, new SplittableRandom(1));
        server.setAnswerLossRate(1);
        send(server, "a", 0);
        time.runUntil(END_MICROS);

        assertEquals(replies, List.of(Reply.LOST));
        assertTrue(runs.serversByRequest().containsKey("a"));
    }

    private ModelServer server(ServerBehaviour behaviour) {
        ModelServer server = new ModelServer(
                "s", "zone", behaviour, (id, r) -> SERVICE_MICROS, time, new RunHistory(), new SplittableRandom(1));
        server.startSpeedChanges();
        return server;
    }

    private void send(ModelServer server, String id, long atMicros) {
        time.after(
                atMicros,
                () -> server.receive(new ModelServer.Job(id, false, reply -> {
                    replies.add(reply);
                    ends.put(id, time.nowMicros());
                })));
    }
}
