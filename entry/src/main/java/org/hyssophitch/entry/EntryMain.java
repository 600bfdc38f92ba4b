package org.hyssophitch.entry;

import java.nio.file.Path;

import org.hyssophitch.core.entry.EntrySettings;
import org.hyssophitch.platform.PlatformSettings;
import org.hyssophitch.wire.concurrent.Lifecycle;
import org.hyssophitch.wire.net.ListenFailedException;
import org.tinylog.Logger;

/** Main class of the entry host process. */
public final class EntryMain {

    /** Port of the metrics endpoint; the deployment file contains the same number. */
    private static final int METRICS_PORT = 9_464;

    /** EX_DATAERR of sysexits.h. */
    private static final int EXIT_INVALID_SETTINGS = 65;
    /** EX_UNAVAILABLE of sysexits.h. */
    private static final int EXIT_UNAVAILABLE = 69;

    private EntryMain() {}

    /** Runs the entry host until SIGTERM or SIGINT. */
    public static void main(String[] arguments) {
        SettingsReloader.holdSignals();
        System.setProperty("tinylog.configuration", "tinylog-entry.properties");
        Path path = PlatformSettings.path();
        try {
            EntrySettings settings = PlatformSettings.read(path, METRICS_PORT);
            EntryProgram program = new EntryProgram(settings, Lifecycle::exitWithoutEventLoop);
            new SettingsReloader(path, METRICS_PORT, settings, program::onSettings).start();
            // A signal must not end the process at once while the front is open, so this comes first.
            Lifecycle.stopOnSignal(program::stop);
            program.start();
            Lifecycle.awaitTermination();
        } catch (PlatformSettings.SettingsException e) {
            exitWithError(e, EXIT_INVALID_SETTINGS);
        } catch (ListenFailedException e) {
            exitWithError(e, EXIT_UNAVAILABLE);
        }
    }

    /** Ends the process without the stop on a signal, which would replace the exit code. */
    private static void exitWithError(Exception cause, int exitCode) {
        Logger.error(cause, "entry host failed to start");
        Lifecycle.shutDownLogging();
        Runtime.getRuntime().halt(exitCode);
    }
}
