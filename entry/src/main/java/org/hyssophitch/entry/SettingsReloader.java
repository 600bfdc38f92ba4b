package org.hyssophitch.entry;

import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.platform.PlatformSettings;
import org.tinylog.Logger;
import sun.misc.Signal;

/**
 * Reloads the settings file on SIGHUP and every {@value #POLL_INTERVAL_SECONDS} seconds, since it may change without a
 * signal. Thread-safe; runs on a daemon thread until the process exits.
 */
final class SettingsReloader {

    private static final long POLL_INTERVAL_SECONDS = 5;
    private static final String RELOAD_SIGNAL = "HUP";

    private final Path path;
    private final int metricsPort;
    private final Consumer<EntrySettings> onChange;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "settings");
        t.setDaemon(true);
        return t;
    });
    private EntrySettings current;

    SettingsReloader(Path path, int metricsPort, EntrySettings current, Consumer<EntrySettings> onChange) {
        this.path = path;
        this.metricsPort = metricsPort;
        this.current = current;
        this.onChange = onChange;
    }

    void start() {
        Signal.handle(new Signal(RELOAD_SIGNAL), s -> executor.execute(() -> reload("signal")));
        executor.scheduleWithFixedDelay(
                () -> reload("period"), POLL_INTERVAL_SECONDS, POLL_INTERVAL_SECONDS, TimeUnit.SECONDS);
    }

    private void reload(String cause) {
        try {
            EntrySettings loaded = PlatformSettings.read(path, metricsPort);
            if (!loaded.equals(current)) {
                current = loaded;
                Logger.info("settings changed; reloaded on {}", cause);
                onChange.accept(loaded);
            } else if (cause.equals(RELOAD_SIGNAL)) {
                Logger.info("settings reloaded on signal; no changes");
            }
        } catch (PlatformSettings.SettingsException e) {
            Logger.warn(e, "settings could not be read; keeping the previous ones");
        }
    }
}
