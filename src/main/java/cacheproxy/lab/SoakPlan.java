package cacheproxy.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Generates the text of a scenario with random, overlapping faults; the same seed gives the same text. No fault starts
 * in the first part of the run nor in the last, in which the fleet has to recover.
 */
public final class SoakPlan {
    /** The kinds of faults. */
    public enum Kind {
        /** Proxies are killed, terminated, stopped, upgraded, drained and reconfigured. */
        PROXIES,
        /** Cache nodes and the origin hang, fall silent, reset, restart cold, drain, leave and corrupt responses. */
        NODES,
        /** Links between proxies and nodes are cut, slow, hold responses, or reset connections during responses. */
        LINKS,
        /**
         * Discovery does not respond, does not answer watches, sends older lists, restarts its version numbers, or its
         * links to proxies are slow or reset.
         */
        DISCOVERY,
        /** Cache nodes drain in waves and restart under the same names soon after. */
        RELEASES,
        /** Proxies are stopped and go on several times in a row, some while they drain or reload. */
        STOPS,
        /** Clients stop in the middle of a request, send nothing, disconnect, or send many requests at once. */
        CLIENTS,
        /** Clients send small or unsound commands at full speed, a few or many at once. */
        FLOODS
    }

    /** Minimum length of a run, which leaves time for faults between the two phases without them. */
    public static final double SHORTEST_MS = 15_000;
    /** Time without new faults at the end, for the last faults, drains and restarts to complete. */
    private static final double QUIET_END_MS = 9000;

    private static final double QUIET_BEGIN_SHARE = 0.15;
    private static final double EVERY_MS = 1800;
    private static final int MOST_LEAVE = 2;
    /** Fraction of the nodes that drain in one wave of a release. */
    private static final double WAVE_SHARE = 0.15;

    private static final int MOST_WAVES = 4;
    /** The number of stops in a row, and the time from one to the next. */
    private static final int LEAST_STOPS = 3;

    private static final int MOST_STOPS = 6;
    private static final int STOP_INTERVAL_MS = 1500;
    /** Longer than the time for which an attempt may begin after its client has left. */
    private static final int LEAST_STOP_MS = 150;

    private static final int MOST_STOP_MS = 1200;
    /** One in so many stops has a signal of another kind while the proxy is stopped. */
    private static final int SIGNAL_IN_STOP_ODDS = 3;
    /** Minimum time from the begin of a wave to the restart of its nodes; longer than the drain grace period. */
    private static final int LEAST_DRAIN_MS = 2500;

    private static final int MOST_DRAIN_MS = 5000;
    /** From this run length on, outages of discovery may outlast everything that proxies keep for a limited time. */
    private static final double LONG_RUN_MS = 60_000;

    private final int proxies;
    private final int nodes;
    private final double forMs;
    private final Random random;
    private final StringBuilder text = new StringBuilder();
    private int left;

    private SoakPlan(int proxies, double forMs, long seed) {
        this.proxies = proxies;
        this.forMs = forMs;
        this.nodes = Math.max(6, Math.min(40, 2 * proxies));
        random = new Random(seed);
    }

    /**
     * Generates a plan as the text of a scenario file.
     *
     * @param proxies number of proxies, 2 to 64
     * @param forMs length of the run, at least {@link #SHORTEST_MS}
     */
    public static String text(int proxies, double forMs, long seed, Set<Kind> kinds) {
        if (proxies < 2 || proxies > 64) {
            throw new IllegalArgumentException("a soak takes 2 to 64 proxies, not " + proxies);
        }
        if (!(forMs >= SHORTEST_MS)) {
            throw new IllegalArgumentException("a soak lasts 15 s at least: it begins and ends in quiet");
        }
        return new SoakPlan(proxies, forMs, seed).draw(seed, kinds);
    }

    private String draw(long seed, Set<Kind> kinds) {
        text.append(String.format(
                Locale.ROOT,
                "# A soak of seed %d over %s.%n%nfleet {%n  zones = [a, b]%n  proxies = %d%n  nodes = %d%n  work = 1ms%n"
                        + "  rate = %d/s%n  patience = 4%n  lead-in = 2s%n  for = %.0fms%n}%n",
                seed,
                kinds,
                proxies,
                nodes,
                Math.min(300, 25 * proxies),
                forMs));
        List<Kind> drawn = new ArrayList<>(kinds.stream().sorted().toList());
        drawn.removeAll(List.of(Kind.CLIENTS, Kind.FLOODS)); // these run during the whole soak
        double beginMs = QUIET_BEGIN_SHARE * forMs;
        int many = drawn.isEmpty() ? 0 : (int) ((forMs - beginMs - QUIET_END_MS) / EVERY_MS) + 1;
        for (int i = 0; i < many; i++) {
            double atMs = beginMs + random.nextDouble() * (forMs - beginMs - QUIET_END_MS);
            Kind kind = drawn.get(random.nextInt(drawn.size()));
            String name = kind.name().toLowerCase(Locale.ROOT) + "-" + i;
            if (kind == Kind.RELEASES) {
                release(name, atMs);
            } else if (kind == Kind.STOPS) {
                stops(name, atMs);
            } else {
                fault(name, atMs, lines(kind));
            }
        }
        text.append("\nexpect {\n  rules = held\n}\n");
        return text.toString();
    }

    private void fault(String name, double atMs, List<String> lines) {
        text.append(String.format(Locale.ROOT, "%nfault \"%s\" {%n  at = %.0fms%n", name, atMs));
        lines.forEach(line -> text.append("  ").append(line).append('\n'));
        text.append("}\n");
    }

    /** Adds those waves whose nodes restart before the final phase without faults. */
    private void release(String name, double fromMs) {
        int size = Math.max(1, (int) (WAVE_SHARE * nodes));
        int first = random.nextInt(nodes);
        double everyMs = 500 + random.nextInt(2000);
        for (int wave = 0; wave < MOST_WAVES; wave++) {
            double atMs = fromMs + wave * everyMs;
            double backMs = atMs + LEAST_DRAIN_MS + random.nextInt(MOST_DRAIN_MS - LEAST_DRAIN_MS);
            String again = again(100, 1500);
            if (backMs > forMs - QUIET_END_MS) {
                return;
            }
            String these = nodes(first + wave * size, size);
            fault(name + "-drain-" + wave, atMs, List.of("drain = " + these));
            fault(name + "-back-" + wave, backMs, List.of("restart = " + these, again));
        }
    }

    /** Adds those stops of a series that end before the final phase without faults. */
    private void stops(String name, double fromMs) {
        String one = "[proxy-" + random.nextInt(proxies) + "]";
        int many = LEAST_STOPS + random.nextInt(MOST_STOPS - LEAST_STOPS);
        for (int stop = 0; stop < many; stop++) {
            double atMs = fromMs + stop * STOP_INTERVAL_MS;
            int stoppedMs = LEAST_STOP_MS + random.nextInt(MOST_STOP_MS - LEAST_STOP_MS);
            String signal = random.nextBoolean() ? "hup = " : "term = ";
            boolean signalled = random.nextInt(SIGNAL_IN_STOP_ODDS) == 0;
            if (atMs + stoppedMs > forMs - QUIET_END_MS) {
                return;
            }
            fault(name + "-stop-" + stop, atMs, List.of("stop = " + one, "for = " + stoppedMs + "ms"));
            if (signalled) {
                fault(name + "-signal-" + stop, atMs + LEAST_STOP_MS / 2.0, List.of(signal + one));
            }
        }
    }

    private String nodes(int from, int many) {
        return IntStream.range(from, from + many)
                .mapToObj(node -> "node-" + node % nodes)
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private List<String> lines(Kind kind) {
        return switch (kind) {
            case PROXIES -> proxy();
            case NODES -> random.nextInt(6) == 0 ? origin() : node();
            case LINKS -> link();
            case DISCOVERY -> discovery();
            case RELEASES, STOPS -> throw new IllegalArgumentException(kind + " are more than one fault");
            case CLIENTS, FLOODS -> throw new IllegalArgumentException("clients have no fault of their own");
        };
    }

    private List<String> proxy() {
        String one = "[proxy-" + random.nextInt(proxies) + "]";
        return switch (random.nextInt(8)) {
            case 0 -> List.of("kill = " + one, again(200, 2500));
            case 1 -> List.of("term = " + one);
            case 2 -> List.of("stop = " + one, lasts(100, 1500));
            case 3 -> List.of("upgrade = " + one);
            case 4 -> List.of("retire = " + one, lasts(3000, 5000));
            case 5 -> List.of("hup = [proxy-*]", "every = 300ms", "times = 3");
            case 6 -> List.of("retune = [proxy-*]", "every = 1500ms", "times = 2");
            default -> List.of("misfile = " + one);
        };
    }

    private List<String> node() {
        String one = "[node-" + random.nextInt(nodes) + "]";
        return switch (random.nextInt(8)) {
            case 0 -> List.of("stall = " + one, lasts(300, 4000));
            case 1 -> List.of("freeze = " + one, lasts(300, 4000));
            case 2 -> List.of("silence = " + one, lasts(500, 5000));
            case 3 -> List.of("reset = " + one, "every = 400ms", "times = 4");
            case 4 -> List.of("spoil = " + one, lasts(1000, 5000), "spoilt = " + (5 + random.nextInt(20)) + "%");
            case 5 -> List.of("drain = " + one);
            case 6 -> left++ < MOST_LEAVE ? List.of("leave = " + one) : List.of("restart = " + one, again(100, 2000));
            default -> List.of("restart = " + one, again(100, 2000));
        };
    }

    private List<String> discovery() {
        String link = random.nextInt(4) == 0 ? "link = [proxy-*]" : "link = [proxy-" + random.nextInt(proxies) + "]";
        String from = "from = [discovery]";
        return switch (random.nextInt(8)) {
            case 0 -> List.of("discovery-down = on", lasts(500, forMs >= LONG_RUN_MS ? 20_000 : 7000));
            case 1 -> List.of("watches-silent = [discovery]", lasts(2000, 8000));
            case 2 -> List.of("older-lists = [discovery]", lasts(2000, 8000));
            case 3 -> List.of("renumber = [discovery]");
            case 4 -> List.of(link, from, "reset-answers = " + (30 + random.nextInt(40)) + "%", lasts(2000, 6000));
            case 5 -> List.of(link, from, "hold = " + (20 + random.nextInt(30)) + "%", lasts(2000, 6000));
            default -> List.of(link, from, "delay = " + (200 + random.nextInt(1000)) + "ms", lasts(3000, 8000));
        };
    }

    private List<String> origin() {
        return List.of((random.nextBoolean() ? "stall" : "freeze") + " = [origin]", lasts(100, 900));
    }

    private List<String> link() {
        String between = "link = [proxy-*]";
        String from = "from = [node-*]";
        return switch (random.nextInt(5)) {
            case 0 -> List.of("cut = [zone-" + "ab".charAt(random.nextInt(2)) + "]", lasts(500, 4000));
            case 1 -> List.of("cut = [node-" + random.nextInt(nodes) + "]", "one-way = on", lasts(500, 4000));
            case 2 -> List.of(between, from, "delay = " + (2 + random.nextInt(40)) + "ms", lasts(1000, 5000));
            case 3 -> List.of(between, from, "reset-answers = " + (1 + random.nextInt(8)) + "%", lasts(1000, 5000));
            default -> List.of(between, from, "hold = " + (1 + random.nextInt(5)) + "%", lasts(1000, 5000));
        };
    }

    private String lasts(int fromMs, int toMs) {
        return "for = " + (fromMs + random.nextInt(toMs - fromMs)) + "ms";
    }

    private String again(int fromMs, int toMs) {
        return "again-after = " + (fromMs + random.nextInt(toMs - fromMs)) + "ms";
    }
}
