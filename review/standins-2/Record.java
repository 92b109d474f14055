import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what is sent, answered and run to a file, with the seconds since the start. */
final class Record {
    private static final long START_NS = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the seconds since the start of the run. */
    static double now() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    synchronized void add(String line) {
        out.printf(Locale.ROOT, "%8.3f %s%n", now(), line);
        out.flush();
    }
}
