package org.hyssophitch.core.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.hyssophitch.core.configuration.AddressRule;
import org.hyssophitch.core.configuration.BackendServer;
import org.hyssophitch.core.configuration.Configuration;
import org.hyssophitch.core.configuration.ProbeBudget;
import org.hyssophitch.core.configuration.Service;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that changes lead from any earlier version to the one in force, and that no older version is accepted. */
public class ConfigurationHistoryTest {

    private static final int VERSIONS = 20;
    private static final int SERVICES = 6;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    @Test(dataProvider = "seeds")
    public void changeFromAnyVersionLeadsToTheVersionInForce(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigurationHistory source = new ConfigurationHistory();
        List<Configuration> accepted = new ArrayList<>();
        for (int v = 1; v <= VERSIONS; v++) {
            Configuration c = configuration(v, random);
            assertTrue(source.accept(c));
            accepted.add(c);
        }
        for (Configuration start : accepted) {
            ConfigurationHistory behind = new ConfigurationHistory();
            behind.accept(start);

            Configuration result =
                    behind.apply(source.changeSince(start.version())).orElseThrow();

            assertEquals(sorted(result), sorted(source.inForce()));
            assertEquals(result.version(), VERSIONS);
        }
    }

    @Test
    public void olderOrSameVersionIsNotAccepted() {
        ConfigurationHistory history = new ConfigurationHistory();
        SplittableRandom random = new SplittableRandom(1);
        history.accept(configuration(5, random));

        assertFalse(history.accept(configuration(4, random)));
        assertFalse(history.accept(configuration(5, random)));
        assertEquals(history.inForce().version(), 5);
    }

    @Test
    public void changeWithAnotherBaseVersionIsNotApplied() {
        SplittableRandom random = new SplittableRandom(1);
        ConfigurationHistory source = new ConfigurationHistory();
        source.accept(configuration(1, random));
        source.accept(configuration(2, random));
        ConfigurationHistory other = new ConfigurationHistory();
        other.accept(configuration(3, random));

        assertTrue(other.apply(source.changeSince(1)).isEmpty());
    }

    private static Configuration configuration(long version, SplittableRandom random) {
        List<Service> services = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            if (random.nextBoolean()) {
                BackendServer server =
                        new BackendServer("b" + i, "10.0.0.1", 1 + random.nextInt(3), "z", 3, 220, false);
                services.add(Service.builder("s" + i).servers(List.of(server)).build());
            }
        }
        return new Configuration(version, "r" + version, 17, ProbeBudget.DEFAULT, AddressRule.DEFAULT, services);
    }

    private static List<Service> sorted(Configuration c) {
        return c.services().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .toList();
    }
}
