import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the record of a run, one event a line, with the milliseconds since its start. */
final class Recorder implements AutoCloseable {

    private final PrintWriter out;
    private final long start = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized long log(String format, Object... values) {
        long now = millis();
        out.printf("%8d  %s%n", now, String.format(format, values));
        out.flush();
        return now;
    }

    @Override
    public void close() {
        out.close();
    }
}
