package cacheproxy.load;

import cacheproxy.emulator.Keys;
import cacheproxy.emulator.TrafficClass;
import java.util.List;

/** The formats of trace lines. */
public enum TraceFormat {
    /**
     * This project's format: {@code time_ms,class,key,op,value_bytes}, where {@code op} is {@code read} or
     * {@code write}. A first line that begins with {@code time_ms} is a header.
     */
    CSV(1e6) {
        @Override
        Planned read(String[] words, List<TrafficClass> classes) {
            if (words.length != 5) {
                throw new IllegalArgumentException();
            }
            int kind = -1;
            for (int i = 0; i < classes.size(); i++) {
                kind = classes.get(i).name().equals(words[1]) ? i : kind;
            }
            boolean write = words[3].equals("write");
            if (kind < 0
                    || (!write && !words[3].equals("read"))
                    || classes.get(kind).write() != write) {
                throw new IllegalArgumentException();
            }
            return planned(words[0], kind, words[2], write, words[4]);
        }
    },
    /**
     * Twitter's published cache traces (Yang, Yue, Rashmi, OSDI 2020): {@code timestamp,key,key size,value size, client
     * id,operation,TTL}, the time in whole seconds. {@code get} and {@code gets} are reads, all others writes; reads
     * get the first class of reads, writes the first class of writes.
     */
    TWITTER(1e9) {
        @Override
        Planned read(String[] words, List<TrafficClass> classes) {
            if (words.length != 7 || !words[5].matches("[a-z_]{2,12}")) {
                throw new IllegalArgumentException();
            }
            boolean write = !words[5].equals("get") && !words[5].equals("gets");
            int kind = 0;
            while (kind < classes.size() && classes.get(kind).write() != write) {
                kind++;
            }
            if (kind == classes.size()) {
                throw new IllegalArgumentException();
            }
            return planned(words[0], kind, words[1], write, words[3]);
        }
    };

    private static final int MAX_VALUE = 1 << 20;

    private final double unitNanos;

    TraceFormat(double unitNanos) {
        this.unitNanos = unitNanos;
    }

    /** Parses the fields of a line; throws an IllegalArgumentException if they are invalid. */
    abstract Planned read(String[] words, List<TrafficClass> classes);

    /** The time resolution of this format, in nanoseconds. */
    double unitNanos() {
        return unitNanos;
    }

    Planned planned(String time, int kind, String key, boolean write, String bytes) {
        double at = Double.parseDouble(time);
        int size = Integer.parseInt(bytes);
        if (!(at >= 0 && at < 1e15) || size < 0 || key.isEmpty()) {
            throw new IllegalArgumentException();
        }
        // Trace keys may hold characters that the protocol does not allow, so a stable hash replaces them.
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        return new Planned(
                (long) (at * unitNanos),
                kind,
                key.matches("[0-9a-f]{1,16}") ? key : Keys.hex(Keys.mix(hash)),
                write,
                write ? Math.min(size, MAX_VALUE) : 0);
    }
}
