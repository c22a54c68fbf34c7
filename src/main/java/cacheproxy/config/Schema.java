package cacheproxy.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sections that files may have. A subsystem registers its own, with the checks that need more than one attribute or
 * entry at a time.
 */
public final class Schema {
    /** A check over all entries, run when each by itself is right. */
    public interface Check {
        /** Looks at a whole configuration; what is wrong with it goes to {@code problems}, with its place. */
        void run(Configuration configuration, Problems problems);
    }

    private final Map<String, Section> sections = new LinkedHashMap<>();
    private final List<Check> checks = new ArrayList<>();

    /** Adds a section; its name must be free. */
    public Schema register(Section section) {
        String name = section.name();
        if (name.equals("include") || name.equals("defaults") || sections.put(name, section) != null) {
            throw new IllegalArgumentException("a section of the name " + name + " is there already");
        }
        return this;
    }

    /** Adds a check. */
    public Schema check(Check check) {
        checks.add(check);
        return this;
    }

    /** By name, in the order in which they are shown. */
    public Map<String, Section> sections() {
        return sections;
    }

    List<Check> checks() {
        return checks;
    }
}
