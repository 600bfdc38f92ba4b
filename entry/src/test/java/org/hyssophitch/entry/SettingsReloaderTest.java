package org.hyssophitch.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hyssophitch.core.entry.EntrySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sun.misc.Signal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/** What is applied and logged when the settings file is read again. */
public class SettingsReloaderTest {

    private static final EntrySettings SETTINGS = new EntrySettings(
            "host-1",
            "z1",
            "r",
            Map.of("z1", "r"),
            new EntrySettings.Addresses("a:1", "a:2", "a:3", "a:4", "a:5"),
            "s:1",
            new EntrySettings.Bounds(1_500, 0.2, 50, 10_000, 60, 5));
    private static final EntrySettings CHANGED =
            SETTINGS.withBounds(new EntrySettings.Bounds(900, 0.2, 50, 10_000, 60, 5));

    @DataProvider
    Object[][] reloads() {
        return new Object[][] {
            {SETTINGS, SettingsReloader.Cause.SIGNAL, Optional.of("settings reloaded on signal; no changes"), List.of()
            },
            {SETTINGS, SettingsReloader.Cause.PERIOD, Optional.empty(), List.of()},
            {
                CHANGED,
                SettingsReloader.Cause.SIGNAL,
                Optional.of("settings changed; reloaded on signal"),
                List.of(CHANGED)
            },
            {
                CHANGED,
                SettingsReloader.Cause.PERIOD,
                Optional.of("settings changed; reloaded on period"),
                List.of(CHANGED)
            },
        };
    }

    /** SIGHUP in the first moments of a start ended the process. */
    @Test
    public void signalBeforeTheStartIsHandledByTheStart() throws Exception {
        List<EntrySettings> received = new CopyOnWriteArrayList<>();
        try (CostFleet fleet = new CostFleet(1)) {
            Path path = fleet.writeSettings();
            SettingsReloader.holdSignals();
            Signal.raise(new Signal("HUP"));
            Thread.sleep(500);
            new SettingsReloader(path, 1, SETTINGS, received::add).start();
            // Sooner than the first periodic reading of the file.
            EntryProgramFixture.await(() -> !received.isEmpty(), 3_000);
        }
    }

    /** Settings that couldn't be applied were taken for those in force and never applied. */
    @Test
    public void settingsWhoseApplicationFailedAreAppliedAgain() {
        List<EntrySettings> received = new ArrayList<>();
        SettingsReloader reloader = new SettingsReloader(Path.of("unused"), 1, SETTINGS, s -> {
            received.add(s);
            if (received.size() == 1) {
                throw new IllegalStateException("simulated");
            }
        });
        assertThrows(IllegalStateException.class, () -> reloader.apply(CHANGED, SettingsReloader.Cause.PERIOD));
        reloader.apply(CHANGED, SettingsReloader.Cause.PERIOD);
        assertEquals(received, List.of(CHANGED, CHANGED));
    }

    @Test(dataProvider = "reloads")
    public void logsSignalsAndChanges(
            EntrySettings loaded, SettingsReloader.Cause cause, Optional<String> line, List<EntrySettings> applied) {
        List<EntrySettings> received = new ArrayList<>();
        SettingsReloader reloader = new SettingsReloader(Path.of("unused"), 1, SETTINGS, received::add);
        assertEquals(reloader.apply(loaded, cause), line);
        assertEquals(received, applied);
    }

    /** The executor ends a periodic task that throws: the host would never read its settings again. */
    @Test
    public void settingsThatCannotBeAppliedDoNotEndTheReloading() throws Exception {
        Path file = Files.createTempFile("settings", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(
                file,
                """
                {"node":"host-1","ip_address":"127.0.0.1","zone":"z1","region":"r","zones":{"z1":"r"},
                 "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","directory":"127.0.0.1:3"},
                 "internal_ports":[4,4],"platform":{"address":"127.0.0.1:5"},
                 "bounds":{"grace_period_s":1.0,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":200,
                 "ttl_max_s":5,"probes_per_s":42}}
                """);
        List<EntrySettings> received = new ArrayList<>();
        SettingsReloader reloader = new SettingsReloader(file, 1, SETTINGS, s -> {
            received.add(s);
            throw new ArithmeticException("not applicable");
        });
        reloader.reload(SettingsReloader.Cause.PERIOD);
        assertEquals(received.size(), 1);
    }
}
