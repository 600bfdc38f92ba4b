package org.hyssophitch.entry.soak;

import java.util.List;

import org.hyssophitch.entry.soak.Event.ConnectionEnd;
import org.hyssophitch.entry.soak.Event.RunEnd;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Stories keep apart what happened to a request each time it was sent. */
public class StoryTest {

    /** Guards against a run of a request that was sent again being counted for its first send. */
    @Test
    public void aRunBelongsToTheLastSendBeforeIt() {
        Request request = new Request("r", "GET", "/t/1", true, 3_000, 6_000, 0);
        List<Event> events = List.of(
                new Event.Sent(100, 110, request, "front-1", "c1", 0),
                new Event.RunStarted(105, "r", "server-1", 1),
                new Event.Unanswered(200, "c1", 0, ConnectionEnd.CLOSED, ""),
                new Event.Sent(300, 300, request, "front-2", "c2", 4),
                new Event.RunStarted(301, "r", "server-2", 2),
                new Event.RunEnded(400, "r", "server-2", 2, RunEnd.ANSWERED));

        List<Story> stories = Story.of(events);

        List<List<String>> servers = stories.stream()
                .map(s -> s.runs().stream().map(r -> r.started().server()).toList())
                .toList();
        assertEquals(servers, List.of(List.of("server-1"), List.of("server-2")));
    }
}
