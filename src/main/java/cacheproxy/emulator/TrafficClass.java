package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A service class of requests, as used by clients, the emulated servers and the proxies' settings.
 *
 * @param name the name on the wire: letters, digits, dots, dashes
 * @param share its relative weight in the traffic, above 0; weights need not add up to 1
 * @param kind how often a request may take effect, which also tells whether it is a write
 * @param work the work per request, as a multiple of the emulated servers' mean
 * @param aimMs target response time
 * @param deadlineMs the time after which the client gives up
 * @param worth the value of a response within the target time
 */
public record TrafficClass(
        String name, double share, Kind kind, double work, double aimMs, double deadlineMs, double worth) {

    /** How often a request may take effect. */
    public enum Kind {
        READ,
        UNSAFE,
        KEYED
    }

    /** Checks the ranges. */
    public TrafficClass {
        if (!name.matches("[A-Za-z0-9.-]{1,32}")) {
            throw new IllegalArgumentException("'" + name + "' is no class: 1 to 32 letters, digits, dots or dashes");
        }
        if (!(share > 0) || !(work > 0) || !(aimMs > 0) || !(deadlineMs > 0 && deadlineMs <= 86_400_000)) {
            throw new IllegalArgumentException("class " + name
                    + ": share, work, aim and deadline are numbers above 0, the deadline a day at most");
        }
    }

    /** Whether it changes its key's value. */
    public boolean write() {
        return kind != Kind.READ;
    }

    /** The mix of a subtitle fleet: mostly reads, some reports that must run once, some keyed publishing. */
    public static final List<TrafficClass> SUBTITLES = List.of(
            new TrafficClass("seg-text", 57, Kind.READ, 1, 250, 1000, 1),
            new TrafficClass("seg-image", 38, Kind.READ, 1, 300, 1000, 1),
            new TrafficClass("fix-submit", 2.7, Kind.UNSAFE, 1.2, 250, 600, 5),
            new TrafficClass("track-publish", 1.8, Kind.KEYED, 1.8, 500, 1000, 10));

    /** This class with its target time and deadline multiplied. */
    public TrafficClass patient(double factor) {
        return new TrafficClass(name, share, kind, work, aimMs * factor, deadlineMs * factor, worth);
    }

    /**
     * Parses a mix such as {@code seg-text=57,fix-submit=2.7:unsafe:600}: name, share, then {@code read} (where nothing
     * is said), {@code unsafe} or {@code keyed}, then the deadline in milliseconds.
     *
     * @param deadlineMs the deadline of entries that name none
     * @throws IllegalArgumentException naming the invalid entry and the expected format
     */
    public static List<TrafficClass> mix(String text, double deadlineMs) {
        List<TrafficClass> classes = new ArrayList<>();
        for (String entry : text.split(",")) {
            int equals = entry.indexOf('=');
            String[] parts = entry.substring(equals + 1).split(":");
            try {
                if (equals < 1 || parts.length > 3) {
                    throw new IllegalArgumentException("no share");
                }
                Kind kind = parts.length < 2 ? Kind.READ : Kind.valueOf(parts[1].toUpperCase(Locale.ROOT));
                double deadline = parts.length < 3 ? deadlineMs : Double.parseDouble(parts[2]);
                classes.add(new TrafficClass(
                        entry.substring(0, equals).trim(),
                        Double.parseDouble(parts[0]),
                        kind,
                        1,
                        deadline / 4,
                        deadline,
                        1));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("'" + entry + "' is no class of a mix (" + e.getMessage()
                        + "); it reads NAME=SHARE[:read|unsafe|keyed[:DEADLINE_MS]]");
            }
        }
        return List.copyOf(classes);
    }
}
