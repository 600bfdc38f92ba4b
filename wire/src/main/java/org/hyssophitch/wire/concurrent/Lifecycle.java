package org.hyssophitch.wire.concurrent;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntConsumer;

import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/** Start and planned stop of a daemon process. Stateless. */
public final class Lifecycle {

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 64;
    /** Longest time in milliseconds for the last log lines: their reader may have stopped reading. */
    private static final long LAST_LINES_MILLIS = 100;

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
        Runtime.getRuntime()
                .addShutdownHook(Thread.ofPlatform()
                        .unstarted(() -> shutDown(stop, Lifecycle::shutDownLogging, Runtime.getRuntime()::halt)));
    }

    /** Writes the log lines that wait to be written, unless that takes too long; nothing is logged afterwards. */
    public static void shutDownLogging() {
        Thread writing = Thread.ofPlatform().daemon().start(Lifecycle::shutDownLogs);
        try {
            writing.join(LAST_LINES_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the parts of a planned end in their order; whatever happens, the process ends. */
    static void shutDown(Runnable stop, Runnable lastLines, IntConsumer halt) {
        int code = EXIT_OK;
        try {
            stop.run();
        } catch (RuntimeException e) {
            Logger.error(e, "planned stop failed");
            code = EXIT_FAILED;
        }
        lastLines.run();
        halt.accept(code);
    }

    private static void shutDownLogs() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Keeps the main thread until the process ends. */
    public static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
