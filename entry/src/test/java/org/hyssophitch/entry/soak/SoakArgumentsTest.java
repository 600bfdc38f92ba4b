package org.hyssophitch.entry.soak;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests what a soak is started with by hand. */
public class SoakArgumentsTest {

    @DataProvider
    Object[][] arguments() {
        return new Object[][] {
            {new String[] {"901"}, new SoakArguments.SeedRuns(901, 901, 60)},
            {new String[] {"901", "904", "40"}, new SoakArguments.SeedRuns(901, 904, 40)},
            {new String[] {"faults"}, new SoakArguments.FaultRuns(10)},
            {new String[] {"faults", "3"}, new SoakArguments.FaultRuns(3)},
            {new String[] {}, new SoakArguments.Invalid("one to three numbers are needed")},
            {new String[] {"901", "4"}, new SoakArguments.Invalid("the last seed, 4, is below the first, 901")},
            {new String[] {"901", "904", "0"}, new SoakArguments.Invalid("a run takes a second or more, not 0")},
            {new String[] {"901", "904", "40", "1"}, new SoakArguments.Invalid("one to three numbers are needed")},
            {new String[] {"x"}, new SoakArguments.Invalid("not a whole number: x")},
            {new String[] {"faults", "x"}, new SoakArguments.Invalid("not a whole number: x")},
            {new String[] {"faults", "3", "4"}, new SoakArguments.Invalid("too many arguments")},
        };
    }

    /** Guards against a soak that plays nothing and reports that no rule was broken. */
    @Test(dataProvider = "arguments")
    public void takesOnlyArgumentsThatPlaySomething(String[] arguments, SoakArguments expected) {
        assertEquals(SoakArguments.parse(arguments), expected);
    }
}
