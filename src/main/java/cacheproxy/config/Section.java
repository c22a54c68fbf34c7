package cacheproxy.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one kind of block may hold: its attributes and the blocks within it. Built once, when a subsystem registers it.
 */
public final class Section {
    /** Whether a block of the kind carries a name. */
    public enum Naming {
        /** None, and it may stand once. */
        ONCE,
        /** None, and it may stand often. */
        MANY,
        /** One, by which it is told apart and referred to. */
        NAMED
    }

    /**
     * One attribute.
     *
     * @param type of the value, or of each of a list's
     * @param listed whether a list may stand there; a single value is a list of one, and its order means nothing
     * @param required whether it must be set
     * @param builtIn its value where nothing is set, as it would be written; null for none
     * @param help in half a line
     */
    public record Attribute(String name, Type type, boolean listed, boolean required, String builtIn, String help) {}

    private final String name;
    private final Naming naming;
    private final String help;
    private final Map<String, Attribute> attributes = new LinkedHashMap<>();
    private final Map<String, Section> blocks = new LinkedHashMap<>();

    /** Without anything in it yet. */
    public Section(String name, Naming naming, String help) {
        this.name = name;
        this.naming = naming;
        this.help = help;
    }

    /** An attribute that must be set. */
    public Section required(String attribute, Type type, String what) {
        return with(new Attribute(attribute, type, false, true, null, what));
    }

    /** An attribute that may be set; {@code builtIn} null: it has no value then. */
    public Section optional(String attribute, Type type, String builtIn, String what) {
        return with(new Attribute(attribute, type, false, false, builtIn, what));
    }

    /** An attribute that may be set to one value or a list. */
    public Section list(String attribute, Type type, String what) {
        return with(new Attribute(attribute, type, true, false, null, what));
    }

    private Section with(Attribute a) {
        if (attributes.put(a.name(), a) != null || blocks.containsKey(a.name())) {
            throw new IllegalArgumentException(name + " has " + a.name() + " twice");
        }
        return this;
    }

    /** A kind of block within it. */
    public Section block(Section inner) {
        if (blocks.put(inner.name, inner) != null || attributes.containsKey(inner.name)) {
            throw new IllegalArgumentException(name + " has " + inner.name + " twice");
        }
        return this;
    }

    /** The word that a block begins with. */
    public String name() {
        return name;
    }

    /** Whether a block carries a name. */
    public Naming naming() {
        return naming;
    }

    /** What it is for, in half a line. */
    public String help() {
        return help;
    }

    /** By name, in the order in which they are shown. */
    public Map<String, Attribute> attributes() {
        return attributes;
    }

    /** By name, in the order in which they are shown. */
    public Map<String, Section> blocks() {
        return blocks;
    }
}
