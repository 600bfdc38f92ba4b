package org.hyssophitch.core.load;

import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** A server that reports a number out of range must not look idle: it would attract all calls. */
public class LoadReportParserTest {

    @DataProvider
    Object[][] unusable() {
        return new Object[][] {
            {""},
            {","},
            {"1"},
            {"1,x"},
            {"-1,0"},
            {"0,-1"},
            {"2147483647,1"},
            {"2147483647,2147483647"},
            {"99999999999,0"},
            {"9".repeat(5_000) + ",0"},
            {"1,0,0,NaN"},
            {"1,0,0,-100"},
            {"1,0,0,0"},
            {"1,0,0,Infinity"},
            {"1,0,0,1e400"},
            {"1e3,0"},
        };
    }

    @Test(dataProvider = "unusable")
    public void unusableReportIsNone(String value) {
        assertEquals(LoadReportParser.parse("s", value, 5), Optional.empty());
    }

    @Test
    public void reportsRunningAndQueuedRequestsAndSlowdown() {
        assertEquals(
                LoadReportParser.parse("s", "2, 3, 7, 150", 5), Optional.of(new LoadReport("s", 5, 5, false, 1.5)));
        assertEquals(LoadReportParser.parse("s", "2,3", 5), Optional.of(new LoadReport("s", 5, 5, false, 1)));
    }
}
