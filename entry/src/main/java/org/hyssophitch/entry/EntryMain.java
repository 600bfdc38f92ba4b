package org.hyssophitch.entry;

import java.nio.file.Path;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.platform.PlatformSettings;
import org.hyssophitch.wire.duty.Lifecycle;
import org.hyssophitch.wire.net.ListenFailedException;
import org.tinylog.Logger;

/** Starts the program of an entry host. */
public final class EntryMain {

    /** Port at which metrics are served; the deploy file names it too. */
    private static final int METRICS_PORT = 9_464;

    private static final int EXIT_SETTINGS = 65;
    /** EX_UNAVAILABLE of sysexits.h. */
    private static final int EXIT_UNAVAILABLE = 69;

    private EntryMain() {}

    /** Runs until the process is asked to stop. */
    public static void main(String[] arguments) {
        System.setProperty("tinylog.configuration", "tinylog-entry.properties");
        Path path = PlatformSettings.path();
        try {
            EntrySettings settings = PlatformSettings.read(path, METRICS_PORT);
            EntryProgram program = new EntryProgram(settings);
            new SettingsWatch(path, METRICS_PORT, settings, program::onSettings).start();
            program.start();
            Lifecycle.stopOnSignal(program::stop);
            Lifecycle.awaitEnd();
        } catch (PlatformSettings.SettingsException e) {
            fail(e, EXIT_SETTINGS);
        } catch (ListenFailedException e) {
            fail(e, EXIT_UNAVAILABLE);
        }
    }

    private static void fail(Exception cause, int code) {
        Logger.error(cause, "not started");
        Lifecycle.writeLastLines();
        System.exit(code);
    }
}
