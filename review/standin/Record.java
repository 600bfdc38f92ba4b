import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%8.3f s  %s%n", millis() / 1_000.0, text);
        out.flush();
    }

    /** Counts a run of a request. */
    void run(String requestId) {
        runs.computeIfAbsent(requestId, k -> new AtomicInteger()).incrementAndGet();
    }

    int runs(String requestId) {
        AtomicInteger count = runs.get(requestId);
        return count == null ? 0 : count.get();
    }

    Map<String, AtomicInteger> allRuns() {
        return runs;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
