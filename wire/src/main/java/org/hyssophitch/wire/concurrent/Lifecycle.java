package org.hyssophitch.wire.concurrent;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntConsumer;

import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;
import sun.misc.Signal;

/** Startup and orderly shutdown of a daemon process. Stateless. */
public final class Lifecycle {

    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 64;
    /** EX_SOFTWARE of sysexits.h. */
    private static final int EXIT_EVENT_LOOP_LOST = 70;
    /** Limits the wait for the last log lines, because the reader of the output may have stopped reading. */
    private static final long LOG_SHUTDOWN_TIMEOUT_MILLIS = 100;

    private Lifecycle() {}

    /** Returns the settings file named by the only argument, or prints the usage and ends the process. */
    public static Path settingsArgument(String program, String[] arguments) {
        if (arguments.length != 1) {
            System.err.println("usage: " + program + " SETTINGS.yaml");
            System.exit(EXIT_USAGE);
        }
        return Path.of(arguments[0]);
    }

    /**
     * Runs a stop task on SIGTERM and SIGINT, then exits with code 0, or 1 when the task failed.
     *
     * <p>The signals have a handler of their own, because a shutdown hook starts only after the virtual machine has
     * loaded its logging, and the grace period runs meanwhile. The hook remains for other ways in which a process ends.
     */
    public static void stopOnSignal(Runnable stop) {
        Runnable logShutdown = Lifecycle::shutDownLogging;
        IntConsumer halt = Runtime.getRuntime()::halt;
        Runnable shutDown = () -> shutDownOnce(stop, logShutdown, halt);
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(shutDown));
        STOP_SIGNALS.forEach(name -> Signal.handle(new Signal(name), s -> shutDown.run()));
    }

    /** Blocks a second caller until the first one has halted the process. */
    private static synchronized void shutDownOnce(Runnable stop, Runnable logShutdown, IntConsumer halt) {
        shutDown(stop, logShutdown, halt);
    }

    /** Writes the pending log lines, waiting for a limited time, and shuts down logging. */
    public static void shutDownLogging() {
        Thread logShutdown = Thread.ofPlatform().daemon().start(Lifecycle::shutDownLoggingProvider);
        try {
            logShutdown.join(LOG_SHUTDOWN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process at once, so that it is started anew: without its event loop it would stay and answer nobody. */
    public static void exitWithoutEventLoop() {
        try {
            Logger.error("the event loop has ended by an error; the process ends");
            shutDownLogging();
        } finally {
            Runtime.getRuntime().halt(EXIT_EVENT_LOOP_LOST);
        }
    }

    /** Runs the steps of an orderly shutdown in order; halts the process even when the stop task fails. */
    static void shutDown(Runnable stop, Runnable logShutdown, IntConsumer halt) {
        int code = EXIT_OK;
        try {
            stop.run();
        } catch (RuntimeException e) {
            Logger.error(e, "orderly shutdown failed");
            code = EXIT_FAILED;
        }
        logShutdown.run();
        halt.accept(code);
    }

    private static void shutDownLoggingProvider() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the main thread until the process ends. */
    public static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
