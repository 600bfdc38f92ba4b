package org.hyssophitch.core.statement;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hyssophitch.core.statement.ServerStatement.Wait;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests when entry hosts return to a server that wanted nothing for a time. */
public class RequestedWaitTest {

    private static final long SECOND = 1_000_000;
    /** Most hosts that may return within 200 ms: one each 33 ms. */
    private static final int MAX_RETURNS_IN_WINDOW = 7;

    private static final long NOW = 100 * SECOND;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{14}, {30}, {150}};
    }

    /** A server that had asked all hosts for a pause got a request of each in the moment in which it ended. */
    @Test(dataProvider = "fleets")
    public void hostsReturnOneAfterTheOther(int hosts) {
        long asked = 10 * SECOND;
        List<Long> returns = IntStream.range(0, hosts)
                .mapToObj(i -> returnMicros("h" + i, hosts, asked))
                .sorted()
                .toList();

        assertTrue(returns.getFirst() >= NOW + asked, "too early");
        assertTrue(returns.getLast() <= NOW + asked + 5 * SECOND, "too late");
        long window = SECOND / 5;
        long most = returns.stream()
                .mapToLong(r ->
                        returns.stream().filter(o -> o >= r && o < r + window).count())
                .max()
                .orElseThrow();
        assertTrue(most <= MAX_RETURNS_IN_WINDOW, most + " of " + hosts + " hosts return at once");
    }

    @Test
    public void orderOfReturnDiffersFromServerToServer() {
        List<Integer> a = order("a");
        assertTrue(!a.equals(order("b")), "" + a);
    }

    @Test
    public void shorterWaitDoesNotEndALongerOne() {
        RequestedWait wait = new RequestedWait();
        assertTrue(wait.hear(new Wait(2 * SECOND), 0, 14, NOW));
        assertEquals(wait.hear(new Wait(SECOND), 0, 14, NOW), false);
        assertEquals(wait.endMicros(NOW), NOW + 2 * SECOND);
    }

    /** The delay of the return is no longer than the wait itself. */
    @Test
    public void shortWaitStaysShort() {
        RequestedWait wait = new RequestedWait();
        wait.hear(new Wait(SECOND / 10), 1, 300, NOW);
        assertTrue(wait.endMicros(NOW) <= NOW + 2 * SECOND / 10);
    }

    private static List<Integer> order(String server) {
        return IntStream.range(0, 14)
                .boxed()
                .sorted((x, y) -> Double.compare(phase(server, "h" + x, 14), phase(server, "h" + y, 14)))
                .toList();
    }

    private static long returnMicros(String host, int hosts, long asked) {
        RequestedWait wait = new RequestedWait();
        wait.hear(new Wait(asked), phase("s", host, hosts), hosts, NOW);
        return wait.endMicros(NOW);
    }

    private static double phase(String server, String host, int hosts) {
        Map<String, String> zones =
                IntStream.range(0, hosts).boxed().collect(Collectors.toMap(i -> "h" + i, i -> "z" + i % 3));
        return new KnownHosts(host, zones, 1).phase(server);
    }
}
