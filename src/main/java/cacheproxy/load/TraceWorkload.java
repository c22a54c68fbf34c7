package cacheproxy.load;

import cacheproxy.emulator.TrafficClass;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Replays a recorded trace. Lines are read as needed, so that the file may be larger than memory. Times are relative to
 * the first line; a line earlier than its predecessor gets the predecessor's time. Requests with equal times are spread
 * evenly over the format's time unit (second or millisecond).
 */
public final class TraceWorkload implements Workload {
    private static final int FIRST_LINES = 10;
    private static final int MAX_LINE = 64 << 10;
    /** Maximum number of requests of equal time that are spread together; further ones form a group of their own. */
    private static final int MAX_GROUP = 100_000;

    private final BufferedReader in;
    private final TraceFormat format;
    private final List<TrafficClass> classes;
    private final double speed;
    private final List<Planned> group = new ArrayList<>();
    private final List<Long> firstUnreadable = new ArrayList<>();
    private int given;
    private Planned ahead;
    private long line;
    private long unreadable;
    private long startNanos = -1;
    private long lastNanos;

    /** {@code speed}: replay speed, above 0; 2 replays in half the time. */
    public TraceWorkload(InputStream in, TraceFormat format, List<TrafficClass> classes, double speed) {
        if (!(speed > 0 && speed <= 1e9)) {
            throw new IllegalArgumentException("a speed of " + speed + "; it is above 0 and a billion at most");
        }
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1), 1 << 16);
        this.format = format;
        this.classes = classes;
        this.speed = speed;
        ahead = read();
    }

    @Override
    public Planned next() {
        if (given == group.size()) {
            fill();
        }
        return given == group.size() ? null : group.get(given++);
    }

    /** Reads the next lines of equal time and spreads them. */
    private void fill() {
        group.clear();
        given = 0;
        if (ahead == null) {
            return;
        }
        long at = ahead.atNanos();
        List<Planned> same = new ArrayList<>();
        while (ahead != null && ahead.atNanos() == at && same.size() < MAX_GROUP) {
            same.add(ahead);
            ahead = read();
        }
        double gap = format.unitNanos() / same.size();
        for (int i = 0; i < same.size(); i++) {
            Planned p = same.get(i);
            long spread = (long) ((at + i * gap) / speed);
            group.add(new Planned(spread, p.kind(), p.key(), p.write(), p.valueBytes()));
        }
    }

    private Planned read() {
        try {
            for (String text; (text = in.readLine()) != null; ) {
                line++;
                if (text.isBlank() || (line == 1 && text.startsWith("time_ms"))) {
                    continue;
                }
                try {
                    if (text.length() > MAX_LINE) {
                        throw new IllegalArgumentException();
                    }
                    Planned p = format.read(text.split(",", -1), classes);
                    startNanos = startNanos < 0 ? p.atNanos() : startNanos;
                    lastNanos = Math.max(lastNanos, p.atNanos() - startNanos);
                    return new Planned(lastNanos, p.kind(), p.key(), p.write(), p.valueBytes());
                } catch (IllegalArgumentException e) {
                    unreadable++;
                    if (firstUnreadable.size() < FIRST_LINES) {
                        firstUnreadable.add(line);
                    }
                }
            }
            return null;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public Unreadable unreadable() {
        return new Unreadable(unreadable, List.copyOf(firstUnreadable));
    }

    @Override
    public void close() {
        try {
            in.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
