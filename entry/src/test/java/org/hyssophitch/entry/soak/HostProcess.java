package org.hyssophitch.entry.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import org.hyssophitch.entry.soak.Event.HostChange;

/** An entry host that runs as a process of its own, and can be started again after its end. */
final class HostProcess implements AutoCloseable {

    private static final int READY_STATUS = 200;
    private static final int PROBE_TIMEOUT_MILLIS = 500;
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 20;
    private static final long KILL_TIMEOUT_SECONDS = 5;

    private final HostSettings settings;
    private final Path directory;
    private final Journal journal;
    private volatile Process process;
    /** Completed when the end of the process is in the journal, so that a later start comes after it. */
    private volatile CompletableFuture<Void> exit;

    HostProcess(HostSettings settings, Path directory, Journal journal) {
        this.settings = settings;
        this.directory = directory;
        this.journal = journal;
    }

    String name() {
        return settings.name();
    }

    HostSettings settings() {
        return settings;
    }

    Path log() {
        return directory.resolve(name() + ".log");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Starts the process; its output is appended to the log of the host. */
    void start() throws IOException {
        Path file = directory.resolve(name() + ".json");
        Files.writeString(file, settings.json());
        ProcessBuilder builder = new ProcessBuilder(HostCommand.words());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HYSSOPHITCH_BOOT", file.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        record(HostChange.STARTED);
        Process started = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        exit = started.onExit().thenRun(() -> record(HostChange.EXITED));
        process = started;
    }

    /** Waits until the host is ready and listens; it reports that it is ready a moment before it listens. */
    void awaitReady() throws InterruptedException {
        long end = journal.millis() + READY_TIMEOUT_MILLIS;
        while (!isReady() || !isListening()) {
            if (journal.millis() > end || !isAlive()) {
                throw new IllegalStateException(name() + " doesn't become ready; see " + log());
            }
            Thread.sleep(POLL_MILLIS);
        }
        record(HostChange.READY);
    }

    private boolean isReady() {
        try {
            URI uri = URI.create("http://" + settings.ready() + "/v1/readiness");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(PROBE_TIMEOUT_MILLIS);
            connection.setReadTimeout(PROBE_TIMEOUT_MILLIS);
            return connection.getResponseCode() == READY_STATUS;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean isListening() {
        try (Socket socket = new Socket()) {
            socket.connect(settings.frontAddress(), PROBE_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    void terminate() {
        record(HostChange.SIGTERM);
        process.destroy();
    }

    void kill() {
        if (isAlive()) {
            record(HostChange.SIGKILL);
            process.destroyForcibly();
        }
    }

    /** Waits until the end of the process is recorded; returns whether it has ended within the time. */
    boolean awaitExit(long millis) throws InterruptedException {
        try {
            exit.get(millis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    void reload() throws IOException {
        record(HostChange.SIGHUP);
        signal("HUP");
    }

    void pause() throws IOException {
        record(HostChange.PAUSED);
        signal("STOP");
    }

    void resume() throws IOException {
        signal("CONT");
        record(HostChange.RESUMED);
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

    private void record(HostChange change) {
        journal.add(new Event.HostChanged(journal.millis(), name(), change));
    }

    /** Returns the lines of the log that contain a text. */
    List<String> logLines(String text) {
        try (Stream<String> lines = Files.lines(log())) {
            return lines.filter(l -> l.contains(text)).toList();
        } catch (IOException e) {
            return List.of("no log: " + e);
        }
    }

    /** Kills the process if it still runs. */
    @Override
    public void close() {
        if (process == null) {
            return;
        }
        kill();
        try {
            process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
