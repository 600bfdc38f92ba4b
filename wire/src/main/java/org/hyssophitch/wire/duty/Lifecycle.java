package org.hyssophitch.wire.duty;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.tinylog.Logger;

/** Start and planned stop of a daemon process. Stateless. */
public final class Lifecycle {

    private static final int EXIT_USAGE = 64;

    private Lifecycle() {}

    /** Returns the settings file that the only argument names, or explains the usage and ends the process. */
    public static Path settingsArgument(String program, String[] arguments) {
        if (arguments.length != 1) {
            System.err.println("usage: " + program + " SETTINGS.yaml");
            System.exit(EXIT_USAGE);
        }
        return Path.of(arguments[0]);
    }

    /** Runs the stop on SIGTERM and SIGINT; the process exits with 0 once it is through. */
    public static void stopOnSignal(Runnable stop) {
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(() -> {
            try {
                stop.run();
                Runtime.getRuntime().halt(0);
            } catch (RuntimeException e) {
                Logger.error(e, "planned stop failed");
                Runtime.getRuntime().halt(1);
            }
        }));
    }

    /** Keeps the main thread until the process ends. */
    public static void awaitEnd() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
