package org.hyssophitch.wire.concurrent;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests the orderly shutdown of a process. */
public class LifecycleTest {

    @DataProvider
    public Object[][] stopTasks() {
        Runnable succeeding = () -> {};
        Runnable failing = () -> {
            throw new IllegalStateException("intentional test failure");
        };
        return new Object[][] {{succeeding, "halt 0"}, {failing, "halt 1"}};
    }

    /** Lines that are logged during the stop task must be written before the process halts, otherwise they are lost. */
    @Test(dataProvider = "stopTasks")
    public void logLinesAreWrittenBeforeTheProcessHalts(Runnable stop, String expectedHalt) {
        List<String> steps = new ArrayList<>();

        Lifecycle.shutDown(
                () -> {
                    steps.add("stop");
                    stop.run();
                },
                () -> steps.add("shut down logging"),
                code -> steps.add("halt " + code));

        assertEquals(steps, List.of("stop", "shut down logging", expectedHalt));
    }
}
