package cacheproxy.config;

import cacheproxy.config.Source.Place;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The mistakes found in a configuration; only the first {@link #MAX_KEPT} are kept. */
public final class Problems {
    /** Further mistakes are only counted. */
    public static final int MAX_KEPT = 200;

    private final Set<Problem> all = new LinkedHashSet<>();
    private long dropped;

    /** Adds the mistakes of another collection. */
    void addAll(Problems others) {
        others.all().forEach(p -> add(p.place(), p.message(), p.fix()));
    }

    /** Adds a mistake and its most likely correction, null if none is known. */
    public void add(Place place, String message, String fix) {
        if (all.size() < MAX_KEPT) {
            all.add(new Problem(place, message, fix));
        } else {
            dropped++;
        }
    }

    /** Whether no mistake was found. */
    public boolean none() {
        return all.isEmpty();
    }

    /** Sorted by file in order of first occurrence, then by line and column. */
    public List<Problem> all() {
        List<String> files =
                all.stream().map(p -> p.place().source().name()).distinct().toList();
        List<Problem> sorted = new ArrayList<>(all);
        sorted.sort(Comparator.<Problem>comparingInt(
                        p -> files.indexOf(p.place().source().name()))
                .thenComparingInt(p -> p.place().line())
                .thenComparingInt(p -> p.place().column()));
        return sorted;
    }

    /** Human-readable text of all mistakes. */
    public String text() {
        StringBuilder s = new StringBuilder();
        all().forEach(p -> s.append(p.text()).append('\n'));
        if (dropped > 0) {
            s.append("and ").append(dropped).append(" more\n");
        }
        return s.toString();
    }
}
