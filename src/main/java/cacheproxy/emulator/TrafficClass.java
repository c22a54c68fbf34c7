package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A class of requests as clients, stand-ins and the proxies' settings know it.
 *
 * @param name as it stands on the wire: letters, digits, dots, dashes
 * @param share its part of the traffic, above 0; shares need not sum to anything
 * @param kind how often it may take effect, and so whether it is a write
 * @param work its work, as a multiple of the stand-ins' mean
 * @param aimMs within which time an answer is wanted
 * @param deadlineMs after which time the client has given up
 * @param worth of an answer within the aim
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

    /** Whether it changes what its key holds. */
    public boolean write() {
        return kind != Kind.READ;
    }

    /** The mix of a subtitle fleet: mostly reads, some reports that must run once, some keyed publishing. */
    public static final List<TrafficClass> SUBTITLES = List.of(
            new TrafficClass("seg-text", 57, Kind.READ, 1, 250, 1000, 1),
            new TrafficClass("seg-image", 38, Kind.READ, 1, 300, 1000, 1),
            new TrafficClass("fix-submit", 2.7, Kind.UNSAFE, 1.2, 250, 600, 5),
            new TrafficClass("track-publish", 1.8, Kind.KEYED, 1.8, 500, 1000, 10));

    /** This class with its aim and deadline multiplied. */
    public TrafficClass patient(double factor) {
        return new TrafficClass(name, share, kind, work, aimMs * factor, deadlineMs * factor, worth);
    }

    /**
     * Reads a mix such as {@code seg-text=57,fix-submit=2.7:unsafe:600}: name, share, then {@code read} (where nothing
     * is said), {@code unsafe} or {@code keyed}, then the deadline in milliseconds.
     *
     * @param deadlineMs where an entry names none
     * @throws IllegalArgumentException saying which entry is wrong and what would do
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
