package org.hyssophitch.core.call;

import java.util.List;

import org.hyssophitch.core.timeline.EventBody;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Servers whose registrations are removed. */
public class ServerRemovalTest extends ProbingDispatcherFixture {

    @Test
    public void removedServerLeavesNoTraceInTheTimeLine() {
        recorded.clear();
        register(List.of("s0", "s1"), List.of("z1", "z1"));
        assertEquals(recorded, List.of(new EventBody.ServerLeaving("s2", "removed")));
    }
}
