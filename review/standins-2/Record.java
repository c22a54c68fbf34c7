import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, in the order of its record; times in milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void line(String format, Object... values) {
        if (out != null) {
            out.println(String.format(Locale.ROOT, "%9.1f  ", now()) + String.format(Locale.ROOT, format, values));
        }
    }

    /** Also to standard output. */
    static void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
