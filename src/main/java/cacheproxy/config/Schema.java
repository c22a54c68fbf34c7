package cacheproxy.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sections permitted in configuration files. Each subsystem registers its sections, and the checks that span
 * several attributes or entries.
 */
public final class Schema {
    /** A check across entries, run only if every entry is valid by itself. */
    public interface Check {
        /** Checks a whole configuration and adds mistakes to {@code problems}. */
        void run(Configuration configuration, Problems problems);
    }

    private final Map<String, Section> sections = new LinkedHashMap<>();
    private final List<Check> checks = new ArrayList<>();

    /** Adds a section; its name must be unique and not reserved. */
    public Schema register(Section section) {
        String name = section.name();
        if (name.equals("include") || name.equals("defaults") || sections.put(name, section) != null) {
            throw new IllegalArgumentException("section " + name + " is reserved or already registered");
        }
        return this;
    }

    /** Adds a check across entries. */
    public Schema check(Check check) {
        checks.add(check);
        return this;
    }

    /** All sections by name, in display order. */
    public Map<String, Section> sections() {
        return sections;
    }

    List<Check> checks() {
        return checks;
    }
}
