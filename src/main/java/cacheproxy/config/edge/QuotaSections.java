package cacheproxy.config.edge;

import cacheproxy.config.Configuration;
import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Problems;
import cacheproxy.config.Schema;
import cacheproxy.config.Section;
import cacheproxy.config.Section.Naming;
import cacheproxy.config.Type;
import cacheproxy.quota.Limit;
import cacheproxy.quota.Measure;
import cacheproxy.quota.QuotaSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The section {@code quotas}: limits per organisation, app and device class. */
public final class QuotaSections {
    private static final String SECTION = "quotas";
    /** Nesting levels, outermost first. */
    private static final String[] LEVELS = {"organisation", "app", "device"};

    private static final long MAX_COUNT = 1_000_000_000_000L;

    private QuotaSections() {}

    /** Registers the section. */
    public static Schema register(Schema schema) {
        Section inner = null;
        for (int level = LEVELS.length - 1; level >= 0; level--) {
            Section section = limits(
                            new Section(
                                    LEVELS[level],
                                    Naming.NAMED,
                                    "one " + LEVELS[level]
                                            + "; \"*\" stands for all that are not named together, \"each\" for each of them"),
                            true)
                    .optional(
                            "weight",
                            Type.factor("0.001", "1000"),
                            "1",
                            "its part of what is lent, against the others'");
            inner = inner == null ? section : section.block(inner);
        }
        return schema.register(limits(new Section(SECTION, Naming.ONCE, "what may be asked, over all instances"), false)
                        .block(inner))
                .check(QuotaSections::check);
    }

    private static Section limits(Section section, boolean guaranteed) {
        for (Measure m : Measure.values()) {
            Type amount = m == Measure.BYTES ? Type.size("1B", "1000GB") : Type.count(1, MAX_COUNT);
            Type own = m == Measure.BYTES ? Type.size("0B", "1000GB") : Type.count(0, MAX_COUNT);
            Section limit = new Section(m.setting(), Naming.MANY, "how many " + m.setting() + " in one window")
                    .required("per", Type.duration("1s", "1h"), "the window, which slides")
                    .required("cap", amount, "how many at most in any window");
            section.block(
                    guaranteed
                            ? limit.optional("guarantee", own, null, "how many are its own; what it leaves is lent")
                            : limit);
        }
        return section;
    }

    private static boolean isLimit(Entry e) {
        return Measure.isSetting(e.section().name());
    }

    // ---- checks

    private static void check(Configuration configuration, Problems problems) {
        configuration.of(SECTION).forEach(e -> check(e, problems));
    }

    private static void check(Entry node, Problems problems) {
        Map<String, Entry> limits = new HashMap<>();
        for (Entry limit : node.blocks()) {
            if (!isLimit(limit)) {
                continue;
            }
            Entry other = limits.putIfAbsent(limitKey(limit), limit);
            if (other != null) {
                problems.add(
                        limit.place(),
                        "a second quota for " + limit.section().name() + " over the same window as at "
                                + other.place().fileAndLine(),
                        "take one out, or give it another window");
            }
            if (limit.number("guarantee", 0) > limit.number("cap", 0)) {
                problems.add(
                        limit.placeOf("guarantee"),
                        "a guarantee above the cap",
                        "raise the cap, or guarantee no more than it");
            }
            if (node.name().equals(QuotaSpec.EACH) && limit.number("guarantee", 0) > 0) {
                problems.add(
                        limit.placeOf("guarantee"),
                        "a guarantee for each that is not named has no bound",
                        "name them, or give it to \"*\", which all of them share");
            }
        }
        Map<String, Entry> names = new HashMap<>();
        for (Entry child : node.blocks()) {
            if (!isLimit(child)) {
                Entry other = names.putIfAbsent(child.name(), child);
                if (other != null) {
                    problems.add(
                            child.place(),
                            child.title() + " stands there already, at "
                                    + other.place().fileAndLine(),
                            "join the two");
                }
                check(child, problems);
            }
        }
        limits.values().forEach(l -> checkGuarantees(node, l, problems));
    }

    /** Limits with equal keys have the same measure and window. */
    private static String limitKey(Entry limit) {
        return limit.section().name() + " " + limit.number("per", 0);
    }

    /** The children's guarantees must fit into the node's guarantee or, without one, into its cap. */
    private static void checkGuarantees(Entry node, Entry limit, Problems problems) {
        boolean guaranteed = limit.number("guarantee", 0) > 0;
        double has = guaranteed ? limit.number("guarantee", 0) : limit.number("cap", 0);
        String what = guaranteed ? "guarantee" : "cap";
        double sum = 0;
        for (Entry child : node.blocks()) {
            for (Entry l : child.blocks()) {
                if (isLimit(child) || !isLimit(l) || !limitKey(l).equals(limitKey(limit))) {
                    continue;
                }
                double own = l.number("guarantee", 0);
                if (own > has) {
                    problems.add(
                            l.placeOf("guarantee"),
                            "a guarantee above the " + what + " of " + node.title() + ", at "
                                    + limit.placeOf(what).fileAndLine(),
                            "guarantee " + plain(has) + " at most, or raise that");
                    return;
                }
                sum += own;
                if (sum > has) {
                    problems.add(
                            l.placeOf("guarantee"),
                            "with this one " + plain(sum) + " " + l.section().name()
                                    + " are guaranteed beneath " + node.title() + ", more than its " + what + " of "
                                    + plain(has)
                                    + " at " + limit.placeOf(what).fileAndLine(),
                            "guarantee " + plain(sum - has) + " less, or raise that");
                    return;
                }
            }
        }
    }

    private static String plain(double number) {
        return String.format(Locale.ROOT, "%.0f", number);
    }

    // ---- from entries to quotas

    /** The quotas of a checked configuration, or null if it has none. */
    public static QuotaSpec quotas(Configuration configuration) {
        List<Entry> all = configuration.of(SECTION);
        return all.isEmpty() ? null : spec("all", all.get(0));
    }

    private static QuotaSpec spec(String name, Entry node) {
        List<Limit> limits = new ArrayList<>();
        List<QuotaSpec> children = new ArrayList<>();
        for (Entry e : node.blocks()) {
            if (isLimit(e)) {
                limits.add(new Limit(
                        Measure.ofSetting(e.section().name()),
                        Math.round(e.number("per", 0)),
                        Math.round(e.number("guarantee", 0)),
                        Math.round(e.number("cap", 0))));
            } else {
                children.add(spec(e.name(), e));
            }
        }
        return new QuotaSpec(name, node.number("weight", 1), limits, children);
    }
}
