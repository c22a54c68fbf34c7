package cacheproxy.config;

import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Configuration.Setting;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One semantic difference between two configurations. Order, layout, includes, units, and whether a value is set in
 * place or by default, do not count.
 *
 * @param kind how the entry changed
 * @param before the entry in the first configuration, null if it was added
 * @param after the entry in the second configuration, null if it was removed
 * @param detail one line per changed attribute or nested block; empty unless {@code kind} is CHANGED
 */
public record Difference(Kind kind, Entry before, Entry after, List<String> detail) {
    /** How an entry changed. */
    public enum Kind {
        ADDED,
        REMOVED,
        CHANGED,
        RENAMED
    }

    /** All differences, ordered by section and name. */
    public static List<Difference> between(Configuration a, Configuration b) {
        Map<String, Entry> before = byKey(a);
        Map<String, Entry> after = byKey(b);
        List<Difference> all = new ArrayList<>();
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            Entry x = before.get(key);
            Entry y = after.get(key);
            if (x == null) {
                all.add(new Difference(Kind.ADDED, null, y, List.of()));
            } else if (y == null) {
                all.add(new Difference(Kind.REMOVED, x, null, List.of()));
            } else if (!x.canonical().equals(y.canonical())) {
                all.add(new Difference(Kind.CHANGED, x, y, changes("", x, y)));
            }
        }
        return joinRenames(all);
    }

    /** Merges a removed and an added entry with equal content into one renamed entry. */
    private static List<Difference> joinRenames(List<Difference> all) {
        List<Difference> joined = new ArrayList<>();
        List<Difference> removed =
                new ArrayList<>(all.stream().filter(d -> d.kind == Kind.REMOVED).toList());
        List<Difference> matched = new ArrayList<>();
        for (Difference d : all) {
            Difference match = d.kind != Kind.ADDED
                    ? null
                    : removed.stream()
                            .filter(g -> body(g.before).equals(body(d.after)))
                            .findFirst()
                            .orElse(null);
            if (match == null) {
                joined.add(d);
            } else {
                removed.remove(match);
                matched.add(match);
                joined.add(new Difference(Kind.RENAMED, match.before, d.after, List.of()));
            }
        }
        joined.removeAll(matched);
        return joined;
    }

    private static String body(Entry e) {
        return e.section().name() + e.canonical().substring(e.title().length());
    }

    private static Map<String, Entry> byKey(Configuration c) {
        Map<String, Entry> all = new TreeMap<>();
        for (Entry e : c.entries()) {
            String key = e.title();
            for (int i = 2; all.putIfAbsent(key, e) != null; i++) {
                key = e.title() + " " + i;
            }
        }
        return all;
    }

    private static List<String> changes(String path, Entry x, Entry y) {
        List<String> lines = new ArrayList<>();
        TreeSet<String> attributes = new TreeSet<>(x.settings().keySet());
        attributes.addAll(y.settings().keySet());
        for (String a : attributes) {
            String was = text(x.settings().get(a));
            String is = text(y.settings().get(a));
            if (!was.equals(is)) {
                lines.add(path + a + ": " + was + " -> " + is);
            }
        }
        List<String> was = x.blocks().stream().map(Entry::canonical).sorted().toList();
        List<String> is = y.blocks().stream().map(Entry::canonical).sorted().toList();
        was.stream().filter(b -> !is.contains(b)).forEach(b -> lines.add(path + "no more " + b));
        is.stream().filter(b -> !was.contains(b)).forEach(b -> lines.add(path + "new " + b));
        return lines;
    }

    private static String text(Setting s) {
        return s == null ? "not set" : s.canonical();
    }
}
