package cacheproxy.config;

import cacheproxy.config.Source.Place;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a file and all that it includes come to: entries with their values, whatever order they were written in. */
public final class Configuration {
    /** Where a value comes from. */
    public enum Origin {
        OWN,
        DEFAULTS,
        BUILT_IN
    }

    /**
     * One attribute's value.
     *
     * @param values one, or as many as the list has, in canonical order
     * @param canonical as text, alike for all ways to write it
     * @param place where it is set; null for what is built in
     * @param overridden what would hold if it were not set here; null where nothing would
     */
    public record Setting(List<Object> values, String canonical, Place place, Origin origin, Setting overridden) {}

    /**
     * One block.
     *
     * @param name its name; empty for a section that has none
     * @param settings by attribute, in the schema's order; those without a value are not in it
     * @param blocks those within it
     */
    public record Entry(Section section, String name, Place place, Map<String, Setting> settings, List<Entry> blocks) {
        /** Its name with its section's, as {@code pool "tiles"}. */
        public String title() {
            return name.isEmpty() ? section.name() : section.name() + " " + Type.quoted(name);
        }

        /** Whether an attribute has a value. */
        public boolean has(String attribute) {
            return settings.containsKey(attribute);
        }

        /** A string's or name's value, null if it has none. */
        public String text(String attribute) {
            return has(attribute) ? (String) settings.get(attribute).values().get(0) : null;
        }

        /** All strings of a list, none if it is not set. */
        public List<String> texts(String attribute) {
            return has(attribute)
                    ? settings.get(attribute).values().stream()
                            .map(String.class::cast)
                            .toList()
                    : List.of();
        }

        /** A number in the base unit of its type: milliseconds, bytes, events an hour, percent. */
        public double number(String attribute, double absent) {
            return has(attribute)
                    ? ((BigDecimal) settings.get(attribute).values().get(0)).doubleValue()
                    : absent;
        }

        /** A whole number. */
        public int count(String attribute, int absent) {
            return (int) number(attribute, absent);
        }

        /** A share as a part of one. */
        public double share(String attribute, double absent) {
            return has(attribute) ? number(attribute, 0) / 100 : absent;
        }

        /** Whether a flag is on; off if it has no value. */
        public boolean on(String attribute) {
            return has(attribute) && (Boolean) settings.get(attribute).values().get(0);
        }

        /** Where an attribute is set, or else where the block begins. */
        public Place placeOf(String attribute) {
            return has(attribute) && settings.get(attribute).place() != null
                    ? settings.get(attribute).place()
                    : place;
        }

        /** As text, alike for all ways to write it: attributes by name, then blocks in canonical order. */
        public String canonical() {
            StringBuilder s = new StringBuilder(title()).append(" {");
            new TreeMap<>(settings)
                    .forEach((k, v) -> s.append(' ').append(k).append('=').append(v.canonical()));
            blocks.stream()
                    .map(Entry::canonical)
                    .sorted()
                    .forEach(b -> s.append(' ').append(b));
            return s.append(" }").toString();
        }
    }

    private final List<Entry> entries;

    Configuration(List<Entry> entries) {
        this.entries = List.copyOf(entries);
    }

    /** All top-level blocks, in the order of the files. */
    public List<Entry> entries() {
        return entries;
    }

    /** Those of one section. */
    public List<Entry> of(String section) {
        return entries.stream().filter(e -> e.section().name().equals(section)).toList();
    }

    /** As text, alike for all ways to write it. */
    public String canonical() {
        StringBuilder s = new StringBuilder();
        entries.stream().map(Entry::canonical).sorted().forEach(e -> s.append(e).append('\n'));
        return s.toString();
    }

    /** Twelve hexadecimal digits that are alike for configurations that mean the same. */
    public String hash() {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256").digest(canonical().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 6);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }
}
