package cacheproxy.config;

import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Configuration.Origin;
import cacheproxy.config.Configuration.Setting;
import cacheproxy.config.Section.Naming;
import cacheproxy.config.Source.Place;
import cacheproxy.config.Syntax.Attribute;
import cacheproxy.config.Syntax.Block;
import cacheproxy.config.Syntax.Document;
import cacheproxy.config.Syntax.Element;
import cacheproxy.config.Syntax.Item;
import cacheproxy.config.Syntax.Label;
import cacheproxy.config.Syntax.Listing;
import cacheproxy.config.Syntax.Value;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Validates syntax trees against a schema (names, types, ranges, defaults, references) and builds the entries. */
final class Checker {
    private static final int MAX_NAME_LENGTH = 100;

    private record Key(String section, String name) {}

    private final Schema schema;
    private final Problems problems;
    /** Values set by {@code defaults} blocks, by section and attribute. */
    private final Map<String, Map<String, Setting>> defaults = new HashMap<>();

    private final Map<Key, List<Place>> placesByName = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();

    private Checker(Schema schema, Problems problems) {
        this.schema = schema;
        this.problems = problems;
    }

    /** Returns the checked entries; only valid if {@code problems} remains empty. */
    static Configuration check(List<Document> documents, Schema schema, Problems problems) {
        Checker checker = new Checker(schema, problems);
        checker.checkBlocks(documents, true);
        checker.checkBlocks(documents, false);
        checker.checkReferences(checker.entries);
        Configuration configuration = new Configuration(checker.entries);
        if (problems.none()) {
            schema.checks().forEach(c -> c.run(configuration, problems));
        }
        return configuration;
    }

    /** Run for {@code defaults} first, as the position of a block must not affect the result. */
    private void checkBlocks(List<Document> documents, boolean defaultsOnly) {
        for (Document d : documents) {
            for (Item item : d.items()) {
                if (item instanceof Attribute a && !defaultsOnly) {
                    problems.add(
                            a.place(),
                            "'" + a.name() + "' stands outside of any block",
                            schema.sections().containsKey(a.name())
                                    ? "write " + a.name() + " { ... }"
                                    : a.name().equals("include")
                                            ? "write include \"FILE\""
                                            : suggestOwner(a.name()) != null
                                                    ? suggestOwner(a.name())
                                                    : "it belongs into a block of one of "
                                                            + String.join(
                                                                    ", ",
                                                                    schema.sections()
                                                                            .keySet()));
                } else if (item instanceof Block b && b.name().equals("defaults") == defaultsOnly) {
                    if (defaultsOnly) {
                        readDefaults(b);
                    } else {
                        checkEntry(b);
                    }
                }
            }
        }
    }

    /** A fix that names the first section with this attribute, or null. */
    private String suggestOwner(String attribute) {
        return schema.sections().values().stream()
                .filter(s -> s.attributes().containsKey(attribute))
                .findFirst()
                .map(s -> "move it into a " + s.name())
                .orElse(null);
    }

    // ---- defaults

    private void readDefaults(Block block) {
        Label label = block.labels().size() == 1 ? block.labels().get(0) : null;
        Section section = label == null ? null : schema.sections().get(label.text());
        if (section == null) {
            List<String> known = schema.sections().keySet().stream().toList();
            problems.add(
                    label == null ? block.place() : label.place(),
                    label == null ? "defaults of what?" : "defaults of a section that there is not: " + label.raw(),
                    label == null
                            ? "write defaults SECTION { ... }, with one of " + String.join(", ", known)
                            : Suggestions.suggest(label.text(), known));
            return;
        }
        Map<String, Setting> set = defaults.computeIfAbsent(section.name(), k -> new LinkedHashMap<>());
        for (Item item : block.items()) {
            if (item instanceof Attribute a) {
                Section.Attribute known = findAttribute(section, a);
                Setting setting = known == null ? null : readSetting(known, a, Origin.DEFAULTS, builtIn(known));
                Setting before = setting == null ? null : set.putIfAbsent(a.name(), setting);
                if (before != null) {
                    problems.add(
                            a.place(),
                            "a default of " + section.name() + " that is set already at "
                                    + before.place().fileAndLine(),
                            "leave one of them out; which holds may not hang on order");
                }
            } else {
                problems.add(item.place(), "a block within defaults", "defaults set attributes only");
            }
        }
    }

    // ---- entries

    private void checkEntry(Block block) {
        Section section = schema.sections().get(block.name());
        if (section == null) {
            List<String> known = new ArrayList<>(schema.sections().keySet());
            known.add("defaults");
            known.add("include");
            problems.add(
                    block.place(),
                    "no section is called '" + block.name() + "'",
                    Suggestions.suggest(block.name(), known));
            return;
        }
        Entry entry = checkBlock(section, block, defaults.getOrDefault(section.name(), Map.of()));
        if (entry == null) {
            return;
        }
        Key key = new Key(section.name(), entry.name());
        List<Place> places = placesByName.computeIfAbsent(key, k -> new ArrayList<>(1));
        places.add(entry.place());
        if (section.naming() != Naming.MANY && places.size() > 1) {
            problems.add(
                    entry.place(),
                    entry.title() + " stands already at " + places.get(0).fileAndLine(),
                    section.naming() == Naming.NAMED
                            ? "give one of them another name, or take one out"
                            : "join the two");
        }
        entries.add(entry);
    }

    private Entry checkBlock(Section section, Block block, Map<String, Setting> inherited) {
        String name = blockName(section, block);
        Map<String, Setting> own = new HashMap<>();
        List<Entry> blocks = new ArrayList<>();
        for (Item item : block.items()) {
            if (item instanceof Attribute a) {
                Section.Attribute known = findAttribute(section, a);
                Setting overridden = known == null ? null : inherited.getOrDefault(a.name(), builtIn(known));
                Setting setting = known == null ? null : readSetting(known, a, Origin.OWN, overridden);
                Setting before = setting == null ? null : own.putIfAbsent(a.name(), setting);
                if (before != null) {
                    problems.add(
                            a.place(),
                            "'" + a.name() + "' is set already at "
                                    + before.place().fileAndLine(),
                            known.listed() ? "write one list" : "leave one of them out");
                }
            } else if (item instanceof Block b) {
                Section inner = section.blocks().get(b.name());
                if (inner == null) {
                    reportUnknown(section, b.name(), b.place(), true);
                    continue;
                }
                Entry entry = checkBlock(inner, b, Map.of());
                if (inner.naming() == Naming.ONCE && blocks.stream().anyMatch(e -> e.section() == inner)) {
                    problems.add(b.place(), "a second '" + b.name() + "' in one " + section.name(), "join the two");
                }
                if (entry != null) {
                    blocks.add(entry);
                }
            }
        }
        Map<String, Setting> all = new LinkedHashMap<>();
        for (Section.Attribute a : section.attributes().values()) {
            Setting setting =
                    own.containsKey(a.name()) ? own.get(a.name()) : inherited.getOrDefault(a.name(), builtIn(a));
            if (setting != null) {
                all.put(a.name(), setting);
            } else if (a.required()
                    && block.items().stream()
                            .noneMatch(i -> i instanceof Attribute x && x.name().equals(a.name()))) {
                problems.add(
                        block.place(),
                        "'" + a.name() + "' is missing",
                        "set it: " + a.help() + " (" + a.type().description() + ")");
            }
        }
        return name == null ? null : new Entry(section, name, block.place(), all, blocks);
    }

    /** The block's name, empty for a section without names, or null if the label is invalid (reported). */
    private String blockName(Section section, Block block) {
        int labels = block.labels().size();
        if (section.naming() != Naming.NAMED) {
            if (labels > 0) {
                problems.add(
                        block.labels().get(0).place(),
                        "'" + section.name() + "' takes no name",
                        "write " + section.name() + " { ... }");
            }
            return "";
        }
        if (labels != 1) {
            problems.add(
                    labels == 0 ? block.place() : block.labels().get(1).place(),
                    labels == 0 ? "a " + section.name() + " without a name" : "a second name",
                    labels == 0
                            ? "write " + section.name() + " \"NAME\" { ... }"
                            : "a " + section.name() + " has one name");
            return null;
        }
        String name = block.labels().get(0).text();
        if (name.isBlank() || name.length() > MAX_NAME_LENGTH || !name.equals(name.strip())) {
            problems.add(
                    block.labels().get(0).place(),
                    name.length() > MAX_NAME_LENGTH
                            ? "a name of " + name.length() + " characters"
                            : name.isBlank() ? "an empty name" : "a name with blanks around it",
                    name.length() > MAX_NAME_LENGTH
                            ? "at most " + MAX_NAME_LENGTH + " are taken"
                            : name.isBlank() ? "give it a name" : "write " + Type.quoted(name.strip()));
            return null;
        }
        return name;
    }

    private Section.Attribute findAttribute(Section section, Attribute a) {
        Section.Attribute known = section.attributes().get(a.name());
        if (known == null) {
            reportUnknown(section, a.name(), a.place(), false);
        }
        return known;
    }

    private void reportUnknown(Section section, String name, Place place, boolean block) {
        if (block ? section.attributes().containsKey(name) : section.blocks().containsKey(name)) {
            problems.add(
                    place,
                    "'" + name + "' is " + (block ? "an attribute, not a block" : "a block, not an " + "attribute"),
                    block ? "write " + name + " = ..." : "write " + name + " { ... }");
            return;
        }
        if (block && schema.sections().containsKey(name)) {
            problems.add(
                    place,
                    "a " + name + " within a " + section.name(),
                    "close the " + section.name() + " with } before it");
            return;
        }
        List<String> known = new ArrayList<>(section.attributes().keySet());
        known.addAll(section.blocks().keySet());
        String fix = Suggestions.suggest(name, known);
        String elsewhere = block ? null : suggestOwner(name);
        problems.add(
                place,
                "a " + section.name() + " knows no '" + name + "'",
                (fix != null && fix.startsWith("did you mean")) || elsewhere == null ? fix : elsewhere);
    }

    // ---- values

    private Setting builtIn(Section.Attribute a) {
        if (a.builtIn() == null) {
            return null;
        }
        Problems own = new Problems();
        Source source = new Source("built in", "x = " + a.builtIn());
        Value value = ((Attribute) Parser.parse(source, own).items().get(0)).value();
        Type.Parsed parsed = a.type().read(value, own);
        if (!own.none()) {
            throw new IllegalArgumentException(own.text());
        }
        return new Setting(List.of(parsed.value()), parsed.canonical(), null, Origin.BUILT_IN, null);
    }

    private Setting readSetting(Section.Attribute known, Attribute a, Origin origin, Setting overridden) {
        if (!(a.value() instanceof Listing list)) {
            Type.Parsed parsed = known.type().read(a.value(), problems);
            return parsed == null
                    ? null
                    : new Setting(
                            List.of(parsed.value()),
                            known.listed() ? "[" + parsed.canonical() + "]" : parsed.canonical(),
                            a.value().place(),
                            origin,
                            overridden);
        }
        if (!known.listed()) {
            problems.add(
                    list.place(),
                    "a list where " + known.type().description() + " belongs",
                    list.elements().size() == 1 ? "leave the brackets out" : "one value is taken here");
            return null;
        }
        if (list.elements().isEmpty()) {
            problems.add(list.place(), "an empty list", "leave the line out if nothing is meant");
            return null;
        }
        Map<String, Object> values = new TreeMap<>();
        boolean valid = true;
        for (Element e : list.elements()) {
            Type.Parsed parsed = known.type().read(e.value(), problems);
            valid &= parsed != null;
            if (parsed != null && values.put(parsed.canonical(), parsed.value()) != null) {
                problems.add(e.value().place(), "a value that is in the list already", "leave it out");
                valid = false;
            }
        }
        return valid
                ? new Setting(
                        List.copyOf(values.values()), values.keySet().toString(), list.place(), origin, overridden)
                : null;
    }

    // ---- references

    private void checkReferences(List<Entry> all) {
        for (Entry e : all) {
            e.settings().forEach((attribute, setting) -> {
                String section = e.section().attributes().get(attribute).type().reference();
                if (section != null && setting.place() != null) {
                    setting.values().forEach(v -> checkReference(section, (String) v, setting.place()));
                }
            });
            checkReferences(e.blocks());
        }
    }

    private void checkReference(String section, String name, Place place) {
        List<Place> places = placesByName.get(new Key(section, name));
        if (places == null) {
            List<String> known = placesByName.keySet().stream()
                    .filter(k -> k.section().equals(section))
                    .map(Key::name)
                    .toList();
            problems.add(
                    place,
                    "no " + section + " is called " + Type.quoted(name),
                    known.isEmpty()
                            ? "there is no " + section + " at all; write " + section + " " + Type.quoted(name)
                                    + " { ... }"
                            : Suggestions.suggest(name, known));
        } else if (places.size() > 1) {
            problems.add(
                    place,
                    section + " " + Type.quoted(name) + " could be that of "
                            + places.get(0).fileAndLine() + " or that of "
                            + places.get(1).fileAndLine(),
                    "give one of them another name");
        }
    }
}
