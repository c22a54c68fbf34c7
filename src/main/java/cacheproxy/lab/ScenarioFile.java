package cacheproxy.lab;

import cacheproxy.config.ConfigFile;
import cacheproxy.config.Configuration;
import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Problems;
import cacheproxy.config.Schema;
import cacheproxy.config.Section;
import cacheproxy.config.Section.Naming;
import cacheproxy.config.Type;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.Layout;
import cacheproxy.emulator.Layout.Part;
import cacheproxy.emulator.LinkConditions;
import cacheproxy.emulator.LinkFault;
import cacheproxy.emulator.Parties;
import cacheproxy.emulator.Series.What;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.lab.Scenario.Band;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A scenario file in the configuration language, with sections {@code fleet}, {@code fault} and {@code expect}. */
public final class ScenarioFile {
    private static final int MOST_TIMES = 1000;
    private static final int MOST_FAULTS = 10_000;
    private static final String CUT = "cut";
    private static final String LINK = "link";
    private static final String FROM = "from";
    private static final List<String> SHARES = List.of("lose", "double", "reorder", "hold", "reset-answers");
    /** Actions that are attributes of a fault section, with their targets as the value. */
    private static final List<Fault.Action> ACTIONS = Arrays.stream(Fault.Action.values())
            .filter(a -> a != Fault.Action.DOWN)
            .toList();

    private static final Map<String, Part> PARTS =
            Map.of("view", Part.VIEW, "leave-zones", Part.ZONES, "keep-state", Part.STATE, "recover", Part.RECOVERY);

    private static final Map<String, What> SECONDS = new TreeMap<>(
            Map.of("origin-at-most", What.FETCHES, "calls-at-most", What.CALLS, "opened-at-most", What.OPENED));

    private final Path file;
    private final Configuration configuration;

    private ScenarioFile(Path file, Configuration configuration) {
        this.file = file;
        this.configuration = configuration;
    }

    // ---- schema

    /** The schema of scenario files, with its checks. */
    public static Schema schema() {
        Type part = Type.name(60);
        Section fleet = new Section("fleet", Naming.ONCE, "the stand-ins, the proxies before them, and the load")
                .list(
                        "zones",
                        Type.name(20),
                        "their names; proxies and nodes are dealt to them in turn, by the names' order")
                .optional("between", Type.duration("0ms", "1s"), "0ms", "what the way from zone to zone takes, one way")
                .optional("proxies", Type.count(1, 64), "4", "real processes of the program")
                .optional("nodes", Type.count(1, 1000), "8", "cache nodes")
                .optional("work", Type.duration("0ms", "1m"), "1ms", "mean work of a read at a node of speed 1")
                .optional("origin-time", Type.duration("0ms", "1m"), "25ms", "mean time of a fetch at the origin")
                .optional("origin-slots", Type.count(1, 10_000), "8", "fetches that the origin works on at once")
                .optional("node-connections", Type.count(1, 100_000), "42", "connections that a node accepts")
                .optional("held", Type.share("0%", "100%"), "92%", "of all keys that nodes hold at the start")
                .optional("notice", Type.duration("0ms", "1m"), "1500ms", "how late list and front see a change")
                .optional("warm-up", Type.duration("0ms", "10m"), "9s", "how long a node that was started is cold")
                .optional("peers", Type.flag(), "on", "whether proxies are told of one another")
                .optional("view", Type.flag(), "off", "whether they keep a view of the fleet")
                .optional("leave-zones", Type.flag(), "off", "whether they leave zones as a fleet, which takes a view")
                .optional("keep-state", Type.flag(), "off", "whether they store what outlasts them")
                .optional(
                        "recover",
                        Type.flag(),
                        "off",
                        "whether they come back with the others in mind, which takes a view")
                .optional("list-lines", Type.count(1, 100_000), "200", "that discovery can send a second, to all")
                .optional("rate", Type.rate("1/s", "100000/s"), "200/s", "requests by clients")
                .optional("keys", Type.count(1, 10_000_000), "20000", "in the key space")
                .optional("connections", Type.count(1, 10_000), "100", "of clients, at most")
                .optional(
                        "clients-in-turn",
                        Type.flag(),
                        "off",
                        "all of them are opened, and each is used as often as the others")
                .optional(
                        "patience",
                        Type.factor("1", "100"),
                        "1",
                        "multiplies aims, deadlines and graces, for slow machines")
                .optional("lead-in", Type.duration("0s", "10m"), "5s", "a quarter of the rate first, not counted")
                .optional("for", Type.duration("1s", "2h"), "20s", "how long it lasts from the lead-in's end");
        Section fault = new Section("fault", Naming.NAMED, "something that goes wrong")
                .required("at", Type.duration("0ms", "2h"), "when, from the lead-in's end")
                .optional("for", Type.duration("1ms", "2h"), null, "how long")
                .optional("every", Type.duration("100ms", "1h"), null, "it happens again and again, this far apart")
                .optional("times", Type.count(1, MOST_TIMES), "1", "how often it happens")
                .list(CUT, part, "these are cut off, from all others or from those that 'from' names")
                .list(LINK, part, "what lies between these, or between these and those that 'from' names")
                .list(FROM, part, "the other end")
                .optional("one-way", Type.flag(), "off", "only what the first end sends is concerned")
                .optional("delay", Type.duration("0ms", "1m"), null, "what everything takes")
                .optional("jitter", Type.duration("0ms", "1m"), null, "what it takes at most beyond that");
        SHARES.forEach(s -> fault.optional(s, Type.share("0%", "100%"), null, help(s)));
        ACTIONS.forEach(a -> fault.list(word(a), part, "happens to these: " + a.targets()));
        fault.optional("discovery-down", Type.flag(), "off", "discovery answers nothing")
                .optional("spoilt", Type.share("0%", "100%"), "10%", "of the answers of nodes that spoil them")
                .optional("share", Type.share("0%", "100%"), "100%", "of those named, drawn by the seed")
                .optional(
                        "again-after",
                        Type.duration("0ms", "1h"),
                        "1s",
                        "when what was killed or restarted starts again")
                .optional(
                        "state",
                        Type.choice(Arrays.stream(Fault.State.values())
                                .map(ScenarioFile::word)
                                .toArray(String[]::new)),
                        "kept",
                        "what becomes of a killed proxy's stored state");
        Section expect = new Section("expect", Naming.ONCE, "what has to come of it")
                .optional("rules", Type.choice("held", "any"), "held", "whether the rules have to hold")
                .optional("served", Type.share("0%", "100%"), null, "of all requests in time, at least")
                .optional(
                        "settled-within",
                        Type.duration("100ms", "10m"),
                        null,
                        "from each fault's end until the proxies' views are one, and true")
                .optional(
                        "false-deaths",
                        Type.count(0, 1_000_000),
                        null,
                        "how often one that lives may be given up, at most")
                .optional(
                        "left-within",
                        Type.duration("100ms", "10m"),
                        null,
                        "from the first fault's begin until all that hear most of the fleet have left a zone")
                .optional(
                        "together-within",
                        Type.duration("100ms", "10m"),
                        null,
                        "how long those may differ by more than a step")
                .optional(
                        "whole-within",
                        Type.duration("100ms", "10m"),
                        null,
                        "from the last fault's end until all zones are open at all proxies")
                .optional("leaves-at-most", Type.count(0, 1000), null, "how often zones are left")
                .optional(
                        "left-attempts-at-most",
                        Type.rate("1/h", "100000/s"),
                        null,
                        "of all proxies beyond it, at a zone that is left, on average")
                .optional(
                        "fetches-at-most",
                        Type.factor("1", "100"),
                        null,
                        "in every 2 s after the last fault, by what they were before the first")
                .optional(
                        "full-service-within",
                        Type.duration("100ms", "10m"),
                        null,
                        "from the first fault's begin until the fleet serves as before, at no more cost")
                .optional(
                        "busiest-at-most",
                        Type.factor("1", "100"),
                        null,
                        "what the busiest proxy takes from 10 s after the last fault on, by the mean")
                .optional(
                        "stale-decisions",
                        Type.count(0, 1_000_000),
                        null,
                        "by what was stored and is older than it may be, at most");
        SECONDS.forEach((word, what) -> expect.optional(
                word,
                Type.count(0, 1_000_000),
                null,
                what.name().toLowerCase(Locale.ROOT) + " in any second from the first fault on, at most"));
        return new Schema().register(fleet).register(fault).register(expect).check(ScenarioFile::check);
    }

    private static String help(String share) {
        return switch (share) {
            case "lose" -> "of datagrams are lost; pieces of a connection are resent, and late";
            case "double" -> "of datagrams arrive twice";
            case "reorder" -> "of datagrams are overtaken";
            case "hold" -> "of answers stand still half way";
            default -> "of answers: the connection is reset in their place";
        };
    }

    private static <E extends Enum<E>> String word(E value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    // ---- checks

    private static void check(Configuration configuration, Problems problems) {
        FleetSpec spec;
        try {
            spec = fleet(configuration, 1);
        } catch (IllegalArgumentException e) {
            Entry fleet = configuration.of("fleet").get(0);
            problems.add(fleet.place(), e.getMessage(), "change what it names");
            return;
        }
        configuration.of("fault").forEach(f -> check(f, spec, problems));
    }

    private static void check(Entry fault, FleetSpec spec, Problems problems) {
        Parties parties = new Parties(spec);
        boolean links = fault.has(CUT) || fault.has(LINK);
        List<Fault.Action> actions =
                ACTIONS.stream().filter(a -> fault.has(word(a))).toList();
        if (!links && actions.isEmpty() && !fault.on("discovery-down")) {
            problems.add(
                    fault.place(),
                    "a fault that does nothing",
                    "name what it does, as cut = [zone-a] or kill = [proxy-*]");
        }
        for (String list : List.of(CUT, LINK, FROM)) {
            fault.texts(list).stream()
                    .filter(w -> parties.match(w).isEmpty())
                    .forEach(w ->
                            problems.add(fault.placeOf(list), "'" + w + "' is no part of this fleet", parties.hint()));
        }
        for (Fault.Action a : actions) {
            for (String w : fault.texts(word(a))) {
                if (parties.match(w).isEmpty()) {
                    problems.add(fault.placeOf(word(a)), "'" + w + "' is no part of this fleet", parties.hint());
                } else if (parties.match(w).stream().noneMatch(a::fits)) {
                    problems.add(
                            fault.placeOf(word(a)),
                            word(a) + " does not go with " + w,
                            word(a) + " is for: " + a.targets());
                }
            }
        }
        boolean lasts = links || fault.on("discovery-down") || actions.stream().anyMatch(ScenarioFile::lasts);
        if (lasts && !fault.has("for")) {
            problems.add(fault.place(), "a fault without an end", "say how long it lasts, as for = 6s");
        }
        if (fault.has(FROM) && !links) {
            problems.add(fault.placeOf(FROM), "from belongs to cut or link", "leave it out");
        }
        if (fault.has(LINK) && !fault.has(CUT) && way(fault).equals(LinkConditions.OPEN)) {
            problems.add(
                    fault.placeOf(LINK), "nothing happens on this link", "say what, as lose = 50% or delay = 30ms");
        }
        if (fault.has(LINK)
                && !fault.has(FROM)
                && parties.match(fault.texts(LINK)).size() < 2) {
            problems.add(fault.placeOf(LINK), "one part alone has no link", "name the other end, as from = [proxy-*]");
        }
        if (fault.count("times", 1) > 1 && !fault.has("every")) {
            problems.add(fault.placeOf("times"), "how far apart is not said", "say it, as every = 5s");
        }
    }

    /** Whether the action needs a duration; killed or restarted processes use {@code again-after} instead. */
    private static boolean lasts(Fault.Action a) {
        return switch (a) {
            case STALL, FREEZE, SILENCE, SPOIL, STALE, STOP, RETIRE, WATCHES_SILENT, OLDER_LISTS -> true;
            default -> false;
        };
    }

    // ---- reading

    /** Reads a file; errors are added to {@code problems}, and the result is valid only if there are none. */
    public static ScenarioFile read(Path file, Problems problems) {
        return new ScenarioFile(file, ConfigFile.read(file, schema(), problems));
    }

    /** The scenario with the random choices of this seed. */
    public Scenario scenario(long seed) {
        return scenario(seed, Set.of());
    }

    /** The scenario with these features of the proxies turned off, for comparison. */
    public Scenario scenario(long seed, Set<Part> without) {
        FleetSpec whole = fleet(configuration, seed);
        Layout layout = whole.layout();
        FleetSpec spec = whole.withLayout(new Layout(
                layout.zones(),
                layout.betweenMs(),
                layout.peers(),
                layout.parts().stream().filter(p -> !without.contains(p)).collect(Collectors.toSet())));
        Entry fleet = section("fleet");
        List<Fault> faults = new ArrayList<>();
        List<LinkFault> links = new ArrayList<>();
        List<Band> bands = new ArrayList<>();
        for (Entry f : configuration.of("fault")) {
            Random random = new Random(seed * 31 + f.name().hashCode());
            for (int i = 0; i < f.count("times", 1) && faults.size() < MOST_FAULTS; i++) {
                double at = f.number("at", 0) + i * f.number("every", 0);
                add(f, at, spec, random, faults, links);
                bands.add(new Band(f.name(), at, at + f.number("for", 0)));
            }
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        String name = file.getFileName().toString().replaceFirst("\\.conf$", "")
                + (without.isEmpty()
                        ? ""
                        : " without "
                                + without.stream()
                                        .sorted()
                                        .map(ScenarioFile::word)
                                        .toList());
        return new Scenario(
                name,
                spec,
                number(fleet, "rate", 720_000) / 3600,
                number(fleet, "lead-in", 5000),
                number(fleet, "for", 20_000),
                (int) number(fleet, "keys", 20_000),
                (int) number(fleet, "connections", 100),
                fleet != null && fleet.on("clients-in-turn"),
                List.copyOf(faults),
                List.copyOf(links),
                expectations(),
                List.copyOf(bands));
    }

    private Entry section(String name) {
        List<Entry> all = configuration.of(name);
        return all.isEmpty() ? null : all.get(0);
    }

    private static double number(Entry entry, String attribute, double absent) {
        return entry == null ? absent : entry.number(attribute, absent);
    }

    private static FleetSpec fleet(Configuration configuration, long seed) {
        List<Entry> all = configuration.of("fleet");
        Entry e = all.isEmpty() ? null : all.get(0);
        List<String> zones = e == null ? List.of() : e.texts("zones");
        double patience = number(e, "patience", 1);
        FleetSpec standard = FleetSpec.standard((int) number(e, "nodes", 8), (int) number(e, "proxies", 4), seed);
        return standard.withClasses(TrafficClass.SUBTITLES.stream()
                        .map(c -> c.patient(patience))
                        .toList())
                .withWork(number(e, "work", 1), number(e, "origin-time", 25))
                .withOriginSlots((int) number(e, "origin-slots", 8))
                .withListLines((int) number(e, "list-lines", 200))
                .withBounds(
                        standard.cacheEntries(),
                        standard.queue(),
                        (int) number(e, "node-connections", 42),
                        standard.values().usual())
                .withHeld(number(e, "held", 92) / 100)
                .withTimes(
                        number(e, "notice", 1500),
                        number(e, "warm-up", 9000),
                        standard.drainGraceMs(),
                        standard.answerGraceMs() * patience)
                .withLayout(new Layout(
                        zones.isEmpty() ? List.of("a") : zones,
                        number(e, "between", 0),
                        e == null || e.on("peers"),
                        parts(e)));
    }

    private static Set<Part> parts(Entry fleet) {
        Set<Part> parts = EnumSet.noneOf(Part.class);
        PARTS.forEach((word, part) -> {
            if (fleet != null && fleet.on(word)) {
                parts.add(part);
            }
        });
        return parts;
    }

    private List<Expectation> expectations() {
        Entry e = section("expect");
        List<Expectation> all = new ArrayList<>();
        if (e == null || !"any".equals(e.text("rules"))) {
            all.add(new Expectation.RulesHeld());
        }
        if (e != null && e.has("served")) {
            all.add(new Expectation.Served(e.share("served", 0)));
        }
        if (e != null && e.has("settled-within")) {
            all.add(new Expectation.SettledWithin(e.number("settled-within", 0)));
        }
        if (e != null && e.has("false-deaths")) {
            all.add(new Expectation.FalseDeaths(e.count("false-deaths", 0)));
        }
        if (e != null && e.has("left-within")) {
            all.add(new ZoneExpectation.LeftWithin(e.number("left-within", 0)));
        }
        if (e != null && e.has("together-within")) {
            all.add(new ZoneExpectation.TogetherWithin(e.number("together-within", 0)));
        }
        if (e != null && e.has("whole-within")) {
            all.add(new ZoneExpectation.WholeWithin(e.number("whole-within", 0)));
        }
        if (e != null && e.has("leaves-at-most")) {
            all.add(new ZoneExpectation.LeavesAtMost(e.count("leaves-at-most", 0)));
        }
        if (e != null && e.has("left-attempts-at-most")) {
            all.add(new ZoneExpectation.LeftAttemptsAtMost(e.number("left-attempts-at-most", 0) / 3600));
        }
        if (e != null && e.has("fetches-at-most")) {
            all.add(new ZoneExpectation.FetchesAtMost(e.number("fetches-at-most", 1)));
        }
        if (e != null && e.has("full-service-within")) {
            all.add(new RecoveryExpectation.FullServiceWithin(e.number("full-service-within", 0)));
        }
        if (e != null && e.has("busiest-at-most")) {
            all.add(new RecoveryExpectation.BusiestAtMost(e.number("busiest-at-most", 1)));
        }
        if (e != null && e.has("stale-decisions")) {
            all.add(new RecoveryExpectation.StaleDecisions(e.count("stale-decisions", 0)));
        }
        SECONDS.forEach((word, what) -> {
            if (e != null && e.has(word)) {
                all.add(new RecoveryExpectation.AtMost(what, e.count(word, 0)));
            }
        });
        return all;
    }

    private static void add(
            Entry f, double at, FleetSpec spec, Random random, List<Fault> faults, List<LinkFault> links) {
        Parties parties = new Parties(spec);
        double length = f.number("for", 0);
        if (f.has(CUT)) {
            Set<String> these = parties.match(f.texts(CUT));
            Set<String> from = new LinkedHashSet<>(f.has(FROM) ? parties.match(f.texts(FROM)) : parties.all());
            from.removeAll(these);
            links.add(new LinkFault(f.name(), at, length, these, from, f.on("one-way"), LinkConditions.CUT));
        }
        if (f.has(LINK)) {
            Set<String> these = parties.match(f.texts(LINK));
            links.add(new LinkFault(
                    f.name(),
                    at,
                    length,
                    these,
                    f.has(FROM) ? parties.match(f.texts(FROM)) : these,
                    f.on("one-way"),
                    way(f)));
        }
        if (f.on("discovery-down")) {
            faults.add(new Fault(at, Parties.DISCOVERY, Fault.Action.DOWN, length, 0));
        }
        for (Fault.Action a : ACTIONS) {
            List<String> targets = new ArrayList<>(
                    parties.match(f.texts(word(a))).stream().filter(a::fits).toList());
            Collections.shuffle(targets, random);
            int many = (int) Math.round(targets.size() * f.share("share", 1));
            double forMs = lasts(a) ? length : f.number("again-after", 1000);
            targets.subList(0, many)
                    .forEach(t -> faults.add(new Fault(
                            at, t, a, forMs, a == Fault.Action.SPOIL ? f.share("spoilt", 0.1) : 0, state(f))));
        }
    }

    private static Fault.State state(Entry f) {
        return Arrays.stream(Fault.State.values())
                .filter(s -> word(s).equals(f.text("state")))
                .findFirst()
                .orElse(Fault.State.KEPT);
    }

    private static LinkConditions way(Entry f) {
        return new LinkConditions(
                false,
                f.number("delay", 0),
                f.number("jitter", 0),
                f.share("lose", 0),
                f.share("double", 0),
                f.share("reorder", 0),
                f.share("hold", 0),
                f.share("reset-answers", 0));
    }
}
