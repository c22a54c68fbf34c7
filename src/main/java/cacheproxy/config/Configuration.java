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

/** The checked content of a file and its includes: entries with their effective values. */
public final class Configuration {
    /** The source of a value: the block itself, a {@code defaults} block or the schema. */
    public enum Origin {
        OWN,
        DEFAULTS,
        BUILT_IN
    }

    /**
     * One attribute's value.
     *
     * @param values a single value, or the elements of a list in canonical order
     * @param canonical the text form, equal for all equivalent notations
     * @param place where it is set; null for a built-in value
     * @param overridden the setting that this one overrides; null if there is none
     */
    public record Setting(List<Object> values, String canonical, Place place, Origin origin, Setting overridden) {}

    /**
     * One block.
     *
     * @param name the name; empty for a section without names
     * @param settings by attribute, in the schema's order; only attributes with a value
     * @param blocks the nested blocks
     */
    public record Entry(Section section, String name, Place place, Map<String, Setting> settings, List<Entry> blocks) {
        /** Section and name, such as {@code pool "tiles"}. */
        public String title() {
            return name.isEmpty() ? section.name() : section.name() + " " + Type.quoted(name);
        }

        /** Whether an attribute has a value. */
        public boolean has(String attribute) {
            return settings.containsKey(attribute);
        }

        /** The value of a string or name, or null if it is not set. */
        public String text(String attribute) {
            return has(attribute) ? (String) settings.get(attribute).values().get(0) : null;
        }

        /** All strings of a list; empty if it is not set. */
        public List<String> texts(String attribute) {
            return has(attribute)
                    ? settings.get(attribute).values().stream()
                            .map(String.class::cast)
                            .toList()
                    : List.of();
        }

        /** A number in the base unit of its type: milliseconds, bytes, events per hour or percent. */
        public double number(String attribute, double absent) {
            return has(attribute)
                    ? ((BigDecimal) settings.get(attribute).values().get(0)).doubleValue()
                    : absent;
        }

        /** An integer. */
        public int count(String attribute, int absent) {
            return (int) number(attribute, absent);
        }

        /** A share as a fraction of 1. */
        public double share(String attribute, double absent) {
            return has(attribute) ? number(attribute, 0) / 100 : absent;
        }

        /** Whether a flag is on; a flag without a value is off. */
        public boolean on(String attribute) {
            return has(attribute) && (Boolean) settings.get(attribute).values().get(0);
        }

        /** Where an attribute is set, or the start of the block if it is not set here. */
        public Place placeOf(String attribute) {
            return has(attribute) && settings.get(attribute).place() != null
                    ? settings.get(attribute).place()
                    : place;
        }

        /** The text form, equal for all equivalent notations: attributes by name, then blocks in canonical order. */
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

    /** All top-level blocks in file order. */
    public List<Entry> entries() {
        return entries;
    }

    /** The entries of one section. */
    public List<Entry> of(String section) {
        return entries.stream().filter(e -> e.section().name().equals(section)).toList();
    }

    /** The text form, equal for all equivalent notations. */
    public String canonical() {
        StringBuilder s = new StringBuilder();
        entries.stream().map(Entry::canonical).sorted().forEach(e -> s.append(e).append('\n'));
        return s.toString();
    }

    /** The first twelve hexadecimal digits of the SHA-256 digest of the canonical text. */
    public String hash() {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256").digest(canonical().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 6);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform provides SHA-256
        }
    }
}
