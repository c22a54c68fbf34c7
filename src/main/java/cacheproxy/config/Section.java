package cacheproxy.config;

import java.util.LinkedHashMap;
import java.util.Map;

/** The schema of one kind of block: its attributes and nested blocks. Built once, when a subsystem registers it. */
public final class Section {
    /** Whether blocks of a section have names, and how often they may occur. */
    public enum Naming {
        /** No name; may occur once. */
        ONCE,
        /** No name; may occur several times. */
        MANY,
        /** A unique name, used in references. */
        NAMED
    }

    /**
     * One attribute.
     *
     * @param type the type of the value, or of each list element
     * @param listed whether a list is allowed; a single value is a list of one, and order is irrelevant
     * @param required whether a value is mandatory
     * @param builtIn the built-in default as source text; null for none
     * @param help a short description
     */
    public record Attribute(String name, Type type, boolean listed, boolean required, String builtIn, String help) {}

    private final String name;
    private final Naming naming;
    private final String help;
    private final Map<String, Attribute> attributes = new LinkedHashMap<>();
    private final Map<String, Section> blocks = new LinkedHashMap<>();

    /** Creates a section without attributes or blocks. */
    public Section(String name, Naming naming, String help) {
        this.name = name;
        this.naming = naming;
        this.help = help;
    }

    /** Adds a mandatory attribute. */
    public Section required(String attribute, Type type, String what) {
        return with(new Attribute(attribute, type, false, true, null, what));
    }

    /** Adds an optional attribute; with {@code builtIn} null it has no default. */
    public Section optional(String attribute, Type type, String builtIn, String what) {
        return with(new Attribute(attribute, type, false, false, builtIn, what));
    }

    /** Adds an optional attribute that takes one value or a list. */
    public Section list(String attribute, Type type, String what) {
        return with(new Attribute(attribute, type, true, false, null, what));
    }

    private Section with(Attribute a) {
        if (attributes.put(a.name(), a) != null || blocks.containsKey(a.name())) {
            throw new IllegalArgumentException(name + " defines " + a.name() + " more than once");
        }
        return this;
    }

    /** Adds a kind of nested block. */
    public Section block(Section inner) {
        if (blocks.put(inner.name, inner) != null || attributes.containsKey(inner.name)) {
            throw new IllegalArgumentException(name + " defines " + inner.name + " more than once");
        }
        return this;
    }

    /** The keyword of the block. */
    public String name() {
        return name;
    }

    /** Whether blocks have names. */
    public Naming naming() {
        return naming;
    }

    /** A short description. */
    public String help() {
        return help;
    }

    /** Attributes by name, in display order. */
    public Map<String, Attribute> attributes() {
        return attributes;
    }

    /** Nested blocks by name, in display order. */
    public Map<String, Section> blocks() {
        return blocks;
    }
}
