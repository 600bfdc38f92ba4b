package org.hyssophitch.wire.concurrent;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** The end of a process. */
public class LifecycleTest {

    @DataProvider
    public Object[][] stops() {
        Runnable good = () -> {};
        Runnable failing = () -> {
            throw new IllegalStateException("as a test wants it");
        };
        return new Object[][] {{good, "halt 0"}, {failing, "halt 1"}};
    }

    /** Lines that were logged during the stop are written before the process is gone. */
    @Test(dataProvider = "stops")
    public void theLastLinesAreWrittenBeforeTheProcessEnds(Runnable stop, String end) {
        List<String> steps = new ArrayList<>();

        Lifecycle.shutDown(
                () -> {
                    steps.add("stop");
                    stop.run();
                },
                () -> steps.add("last lines"),
                code -> steps.add("halt " + code));

        assertEquals(steps, List.of("stop", "last lines", end));
    }
}
