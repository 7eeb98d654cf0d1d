import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized long add(String event) {
        long now = now();
        out.println(now + " " + event);
        return now;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
