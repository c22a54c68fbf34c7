package cacheproxy.config;

import cacheproxy.config.Source.Place;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** All that is wrong with a configuration, in the order of the files; the first {@link #MAX_KEPT} of it. */
public final class Problems {
    /** More are counted and not kept. */
    public static final int MAX_KEPT = 200;

    private final Set<Problem> all = new LinkedHashSet<>();
    private long dropped;

    /** All that others have found, too. */
    void addAll(Problems others) {
        others.all().forEach(p -> add(p.place(), p.message(), p.fix()));
    }

    /** Something wrong and what would most likely mend it, null if nothing can be said. */
    public void add(Place place, String message, String fix) {
        if (all.size() < MAX_KEPT) {
            all.add(new Problem(place, message, fix));
        } else {
            dropped++;
        }
    }

    /** Whether there is none. */
    public boolean none() {
        return all.isEmpty();
    }

    /** By file in the order in which they were met, then by line. */
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

    /** For people. */
    public String text() {
        StringBuilder s = new StringBuilder();
        all().forEach(p -> s.append(p.text()).append('\n'));
        if (dropped > 0) {
            s.append("and ").append(dropped).append(" more\n");
        }
        return s.toString();
    }
}
