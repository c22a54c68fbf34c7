package cacheproxy.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks a run against its correctness rules and reports each breach. It receives events with their times, does no I/O,
 * and discards what is older than {@link #MEMORY_MS}, so that its memory use depends on the request rate and not on the
 * length of the run. Times in milliseconds of one clock.
 */
public final class Oracle {
    /** How long a finished request and its effects are retained. */
    static final double MEMORY_MS = 30_000;

    /**
     * How long after a proxy could first have learnt of a host list change it is assumed to know it, in milliseconds.
     */
    private static final double DISCOVERY_DELAY_MS = 6000;

    private static final int MAX_EXAMPLES = 5;
    private static final int MAX_EXCUSES = 10_000;

    /** The rules that are checked. */
    public enum Rule {
        LOST("no final answer in time"),
        ANSWERED_TWICE("a second answer, or one to nothing"),
        RAN_TWICE("a write took effect twice"),
        REFUSED_AND_RAN("refused, so said to be harmless to repeat, and had run"),
        STALE("a read showed an older value than one already confirmed"),
        WRONG_VALUE("a value that was not made for its request"),
        SENT_AFTER_CLIENT_LEFT("sent to a server more than 0.1 s after its client had left"),
        SENT_AFTER_DRAIN("sent to a node later than the grace after being told"),
        PUSHED_OVER("a cold node was pushed over");

        private final String meaning;

        Rule(String meaning) {
            this.meaning = meaning;
        }

        /** A description of the breach. */
        public String meaning() {
            return meaning;
        }
    }

    /** How a request ended for its client. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** Breach counts, with the first examples of each rule, and totals. */
    public record Verdict(
            Map<Rule, Long> breaches,
            Map<Rule, List<String>> examples,
            long asked,
            long effects,
            long excused,
            long untaken) {
        /** Whether all rules held. */
        public boolean held() {
            return breaches.isEmpty();
        }
    }

    private static final class Asked {
        final String key;
        final boolean write;
        final double atMs;
        final double deadlineMs;
        Ending ending;
        boolean unanswered;
        double endedMs = Double.NaN;
        int effects;

        Asked(String key, boolean write, double atMs, double deadlineMs) {
            this.key = key;
            this.write = write;
            this.atMs = atMs;
            this.deadlineMs = deadlineMs;
        }
    }

    /** A node's state in discovery's list, and since when. */
    private record Listed(double atMs, boolean wanted) {}

    private record Confirmed(double atMs, long version) {}

    private record Told(double atMs, boolean wanted) {}

    private final double drainGraceMs;
    private final double answerGraceMs;
    private final Map<String, Asked> asked = new LinkedHashMap<>();
    private final Map<String, Integer> keyedEffects = new LinkedHashMap<>();
    private final ArrayDeque<Map.Entry<String, Double>> keyedAges = new ArrayDeque<>();
    private final Map<String, ArrayDeque<Confirmed>> confirmed = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Listed> listed = new HashMap<>();
    /** Since when each proxy has been able to reach discovery; infinite while it can't. */
    private final Map<Integer, Double> reachesSinceMs = new HashMap<>();

    private final Departures departures = new Departures();
    private final List<Excuse> excuses = new ArrayList<>();
    private final Map<Rule, Long> breaches = new EnumMap<>(Rule.class);
    private final Map<Rule, List<String>> examples = new EnumMap<>(Rule.class);
    private long requests;
    private long effects;
    private long excused;
    private long untaken;

    /** Grace periods in milliseconds, as the rules define them. */
    public Oracle(double drainGraceMs, double answerGraceMs) {
        this.drainGraceMs = drainGraceMs;
        this.answerGraceMs = answerGraceMs;
    }

    // ---- clients

    /** A client has sent a request, possibly a repeat; it gives up at {@code deadlineMs}. */
    public void asked(String id, String key, boolean write, double atMs, double deadlineMs) {
        Asked before = asked.put(id, new Asked(key, write, atMs, deadlineMs));
        if (before == null) {
            requests++;
        } else {
            asked.get(id).effects = before.effects;
        }
        forget(atMs);
    }

    /**
     * A client has received a response from that proxy. {@code value}: the value of a served read; {@code version}: the
     * version in the receipt of a served write, negative if it has none.
     */
    public void answered(String id, int proxy, Ending ending, byte[] value, long version, double atMs) {
        Asked a = asked.get(id);
        if (a != null && a.unanswered) {
            return; // already reported as lost; a late response is not a second one
        }
        if (a == null || a.ending != null) {
            breach(Rule.ANSWERED_TWICE, id + " at " + ms(atMs));
            return;
        }
        a.ending = ending;
        a.endedMs = atMs;
        if (atMs > a.deadlineMs + answerGraceMs
                && excuses.stream().noneMatch(e -> e.paused() && e.covers(proxy, a.atMs, a.deadlineMs, atMs))) {
            breach(Rule.LOST, id + " answered " + ms(atMs - a.deadlineMs) + " after its deadline");
        }
        if (ending == Ending.REFUSED && a.effects > 0) {
            breach(Rule.REFUSED_AND_RAN, id);
        } else if (ending == Ending.SERVED && a.write) {
            if (a.effects == 0 || version < 0) {
                breach(Rule.WRONG_VALUE, id + ": a receipt for a write that has not run");
            } else {
                ArrayDeque<Confirmed> history = confirmed.computeIfAbsent(a.key, k -> new ArrayDeque<>(2));
                history.add(new Confirmed(atMs, version));
                trim(history, atMs);
            }
        } else if (ending == Ending.SERVED) {
            served(id, a, value);
        }
    }

    private void served(String id, Asked a, byte[] value) {
        Payload payload = value == null ? null : Payload.read(value);
        if (payload == null || !payload.key().equals(a.key)) {
            breach(Rule.WRONG_VALUE, id + ": " + (payload == null ? "spoilt" : "the value of another key"));
            return;
        }
        long least = 0;
        for (Confirmed c : confirmed.getOrDefault(a.key, new ArrayDeque<>())) {
            if (c.atMs() <= a.atMs) {
                least = Math.max(least, c.version());
            }
        }
        if (payload.version() < least) {
            breach(
                    Rule.STALE,
                    id + ": version " + payload.version() + " of " + a.key + ", " + least
                            + " had been confirmed before it was asked");
        }
    }

    /**
     * A request's deadline has passed without a response. Not a breach if the proxy was excused, as the client has to
     * repeat requests that were pending when a proxy was killed or paused, nor if no proxy had accepted the connection.
     *
     * @param proxy the proxy that the request's connection was assigned to, negative if none accepted it
     * @param endedMs when its connection ended, NaN if it is still open
     */
    public void unanswered(String id, int proxy, double endedMs, double atMs) {
        Asked a = asked.get(id);
        if (a == null || a.ending != null) {
            return;
        }
        a.ending = Ending.FAILED;
        a.unanswered = true;
        a.endedMs = atMs;
        if (proxy < 0) {
            untaken++;
        } else if (excuses.stream().anyMatch(e -> e.covers(proxy, a.atMs, a.deadlineMs, endedMs))) {
            excused++;
        } else {
            breach(
                    Rule.LOST,
                    id + " by proxy " + proxy + (Double.isNaN(endedMs) ? ": nothing came" : ": its connection ended"));
        }
    }

    /** A request's client has closed or reset its connection. */
    public void left(String id, double atMs) {
        departures.left(id, atMs);
    }

    /** A client has received a response that matches no pending request. */
    public void unsolicited(String what, double atMs) {
        breach(Rule.ANSWERED_TWICE, what + " at " + ms(atMs));
    }

    /** A proxy is killed: requests pending on connections that end before its restart are excused. */
    public void killed(int proxy, double atMs) {
        excuse(new Excuse(proxy, atMs, Double.POSITIVE_INFINITY, false));
    }

    /** A proxy is paused between these times: requests pending then may be answered late or never. */
    public void stopped(int proxy, double fromMs, double untilMs) {
        excuse(new Excuse(proxy, fromMs, untilMs, true));
    }

    private void excuse(Excuse excuse) {
        excuses.add(excuse);
        if (excuses.size() > MAX_EXCUSES) {
            excuses.remove(0);
        }
    }

    // ---- servers

    /** A write has been executed. {@code idempotencyKey} is null if it has none. */
    public void effect(String id, String idempotencyKey, double atMs) {
        effects++;
        Asked a = asked.computeIfAbsent(id, i -> new Asked("", true, atMs, atMs));
        if (++a.effects > 1) {
            breach(Rule.RAN_TWICE, id);
        } else if (a.ending == Ending.REFUSED) {
            breach(Rule.REFUSED_AND_RAN, id);
        }
        if (idempotencyKey != null) {
            if (keyedEffects.merge(idempotencyKey, 1, Integer::sum) > 1 && a.effects == 1) {
                breach(Rule.RAN_TWICE, id + " by its key " + idempotencyKey);
            }
            keyedAges.add(Map.entry(idempotencyKey, atMs));
        }
    }

    /** A repeated keyed write was deduplicated and got the original receipt: it counts as executed, but not twice. */
    public void repeated(String id, String idempotencyKey, double atMs) {
        Asked a = asked.computeIfAbsent(id, i -> new Asked("", true, atMs, atMs));
        a.effects = Math.max(1, a.effects);
        if (a.ending == Ending.REFUSED) {
            breach(Rule.REFUSED_AND_RAN, id + " by its key " + idempotencyKey);
        }
    }

    /** A proxy has been told a node's state. {@code wanted}: whether the node may be sent new requests. */
    public void told(int proxy, String node, boolean wanted, double atMs) {
        told.compute(proxy + " " + node, (k, t) -> t != null && t.wanted() == wanted ? t : new Told(atMs, wanted));
    }

    /** A node's state in discovery's list has changed. {@code wanted}: whether it may be sent new requests. */
    public void changed(String node, boolean wanted, double atMs) {
        listed.compute(node, (k, l) -> l != null && l.wanted() == wanted ? l : new Listed(atMs, wanted));
    }

    /** Whether a proxy can reach discovery has changed. */
    public void reachesDiscovery(int proxy, boolean reaches, double atMs) {
        if (!reaches) {
            reachesSinceMs.put(proxy, Double.POSITIVE_INFINITY);
        } else if (reachesSinceMs.getOrDefault(proxy, 0.0) == Double.POSITIVE_INFINITY) {
            reachesSinceMs.put(proxy, atMs);
        }
    }

    /** A proxy has restarted: it has lost what it was told, and is required to answer again from now on. */
    public void restarted(int proxy, double atMs) {
        told.keySet().removeIf(k -> k.startsWith(proxy + " "));
        reachesSinceMs.computeIfPresent(proxy, (p, since) -> Math.max(since, atMs));
        reachesSinceMs.putIfAbsent(proxy, atMs);
        excuses.replaceAll(e -> e.proxy() == proxy && e.untilMs() > atMs && !e.paused()
                ? new Excuse(proxy, e.fromMs(), atMs, false)
                : e);
    }

    /** A node or the origin has received a proxy's command; {@code atMs}: the time of its first byte. */
    public void sent(int proxy, String node, String id, double atMs) {
        if (departures.isTooLate(id, atMs)) {
            breach(Rule.SENT_AFTER_CLIENT_LEFT, id + " to " + node + " by proxy " + proxy);
        }
        Told t = told.get(proxy + " " + node);
        if (t != null && !t.wanted() && atMs > t.atMs() + drainGraceMs) {
            breach(
                    Rule.SENT_AFTER_DRAIN,
                    id + " to " + node + " by proxy " + proxy + ", " + ms(atMs - t.atMs()) + " after it was told");
            return;
        }
        Listed l = listed.get(node);
        if (l == null || l.wanted()) {
            return;
        }
        double learnableMs = Math.max(l.atMs(), Math.max(reachesSinceMs.getOrDefault(proxy, 0.0), pauseEndMs(proxy)));
        if (atMs > learnableMs + DISCOVERY_DELAY_MS + drainGraceMs) {
            breach(
                    Rule.SENT_AFTER_DRAIN,
                    id + " to " + node + " by proxy " + proxy + ", " + ms(atMs - learnableMs)
                            + " after it could have learnt of it from discovery");
        }
    }

    /** The end of the last pause of a proxy; 0 if it was never paused. */
    private double pauseEndMs(int proxy) {
        return excuses.stream()
                .filter(e -> e.paused() && e.proxy() == proxy)
                .mapToDouble(Excuse::untilMs)
                .max()
                .orElse(0);
    }

    /** A cold node has collapsed under overload. */
    public void pushedOver(String node, double atMs) {
        breach(Rule.PUSHED_OVER, node + " at " + ms(atMs));
    }

    // ---- the verdict

    /** The verdict on all events so far. */
    public Verdict verdict() {
        return new Verdict(Map.copyOf(breaches), Map.copyOf(examples), requests, effects, excused, untaken);
    }

    /** The number of requests currently retained, finished or not. */
    int remembered() {
        return asked.size();
    }

    private void breach(Rule rule, String what) {
        breaches.merge(rule, 1L, Long::sum);
        List<String> some = examples.computeIfAbsent(rule, r -> new ArrayList<>());
        if (some.size() < MAX_EXAMPLES) {
            some.add(what);
        }
    }

    private void forget(double now) {
        for (Iterator<Asked> i = asked.values().iterator(); i.hasNext(); ) {
            Asked a = i.next();
            double ended = Double.isNaN(a.endedMs) ? a.deadlineMs : a.endedMs;
            if (now - ended <= MEMORY_MS) {
                break;
            }
            i.remove();
        }
        while (!keyedAges.isEmpty() && now - keyedAges.peek().getValue() > MEMORY_MS) {
            keyedEffects.remove(keyedAges.poll().getKey());
        }
    }

    /** Merges confirmations that precede every open request: of these only the highest version matters. */
    private static void trim(ArrayDeque<Confirmed> history, double now) {
        while (history != null && history.size() > 1 && now - history.peek().atMs() > MEMORY_MS) {
            Confirmed old = history.poll();
            Confirmed next = history.poll();
            history.addFirst(new Confirmed(next.atMs(), Math.max(old.version(), next.version())));
        }
    }

    private static String ms(double ms) {
        return String.format(Locale.ROOT, "%.0f ms", ms);
    }
}
