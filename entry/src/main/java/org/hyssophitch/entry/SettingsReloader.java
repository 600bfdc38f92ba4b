package org.hyssophitch.entry;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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

    /** Why the settings file is read again; the names are written to the log in lower case. */
    enum Cause {
        SIGNAL,
        PERIOD
    }

    private static final AtomicBoolean SIGNALLED_EARLY = new AtomicBoolean();

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

    /** Keeps signals from ending the process before {@link #start}, which handles them. */
    static void holdSignals() {
        Signal.handle(new Signal(RELOAD_SIGNAL), s -> SIGNALLED_EARLY.set(true));
    }

    void start() {
        RepeatedTask onSignal = new RepeatedTask("reload on a signal", () -> reload(Cause.SIGNAL));
        RepeatedTask onPeriod = new RepeatedTask("reload of the settings", () -> reload(Cause.PERIOD));
        Signal.handle(new Signal(RELOAD_SIGNAL), s -> executor.execute(onSignal));
        if (SIGNALLED_EARLY.getAndSet(false)) {
            executor.execute(onSignal);
        }
        executor.scheduleWithFixedDelay(onPeriod, POLL_INTERVAL_SECONDS, POLL_INTERVAL_SECONDS, TimeUnit.SECONDS);
    }

    /** Reads the file and applies what has changed; a failure leaves the next reload due. */
    void reload(Cause cause) {
        try {
            apply(PlatformSettings.read(path, metricsPort), cause).ifPresent(Logger::info);
        } catch (PlatformSettings.SettingsException e) {
            Logger.warn(e, "settings could not be read; keeping the previous ones");
        } catch (RuntimeException e) {
            Logger.error(e, "settings could not be applied");
        }
    }

    /** Applies settings that were read; returns the line to log, none after a periodic read without changes. */
    Optional<String> apply(EntrySettings loaded, Cause cause) {
        if (!loaded.equals(current)) {
            onChange.accept(loaded);
            current = loaded;
            return Optional.of("settings changed; reloaded on " + cause.name().toLowerCase(Locale.ROOT));
        }
        return cause == Cause.SIGNAL ? Optional.of("settings reloaded on signal; no changes") : Optional.empty();
    }
}
