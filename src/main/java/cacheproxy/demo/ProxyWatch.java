package cacheproxy.demo;

import cacheproxy.control.ControlClient;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Polls the proxies' status through their control sockets: rate of responses, progress of drains and whether it ever
 * decreased, and the views of the fleet. Polled by one thread; results may be read by any.
 */
public final class ProxyWatch {
    /**
     * A proxy's latest view of the fleet; {@code digest} is null while it is down or keeps no view. {@code open}: the
     * share of each zone that is open to it; empty if it makes no zone decisions or hears from too few peers.
     */
    public record Sight(String digest, int living, long refutedDeaths, List<Double> open) {}

    /**
     * A sample of all proxies' views, by proxy index, at a {@link System#nanoTime()}. {@code staleDecisions}: total of
     * all processes so far, as of their last successful poll.
     */
    public record Look(long nanos, List<Sight> sights, long staleDecisions) {
        /** Whether the views of all responding proxies are equal and count exactly these proxies as alive. */
        public boolean settled() {
            List<Sight> there = sights.stream().filter(s -> s.digest() != null).toList();
            return !there.isEmpty()
                    && there.stream()
                            .allMatch(s -> s.digest().equals(there.get(0).digest()) && s.living() == there.size());
        }
    }

    private static final Sight AWAY = new Sight(null, 0, 0, List.of());
    private static final int MOST_LOOKS = 40_000;

    private static final class Seen {
        Sight sight = AWAY;
        ControlClient client;
        long pid;
        long answered;
        double perSecond;
        String phase = "";
        double share;
        int drains;
        long taken;
        long turnedDown;
        long stale;
    }

    private final List<ProxyProcess> proxies;
    private final List<Seen> seen = new ArrayList<>();
    private long lastNanos = System.nanoTime();
    private volatile String text = "";
    private final List<Look> views = new CopyOnWriteArrayList<>();
    private volatile int backward;
    private volatile int looks;
    private volatile long taken;
    private volatile long turnedDown;
    private long staleDecisions;

    ProxyWatch(List<ProxyProcess> proxies) {
        this.proxies = proxies;
        proxies.forEach(p -> seen.add(new Seen()));
    }

    /** One line of text: each proxy's share of the responses and its drain progress, if any. */
    public String text() {
        return text;
    }

    /** How often a drain's progress was lower than at the previous poll. */
    public int backward() {
        return backward;
    }

    /** How often a drain in progress was polled. */
    public int looks() {
        return looks;
    }

    /** Number of configurations applied at SIGHUP, as of the last polls. */
    public long taken() {
        return taken;
    }

    /** Number of configurations rejected at SIGHUP, as of the last polls. */
    public long turnedDown() {
        return turnedDown;
    }

    /** The samples of the proxies' views. */
    public List<Look> views() {
        return List.copyOf(views);
    }

    void look() {
        long now = System.nanoTime();
        double seconds = (now - lastNanos) / 1e9;
        lastNanos = now;
        double all = 0;
        for (int i = 0; i < seen.size(); i++) {
            Seen s = seen.get(i);
            try {
                if (s.client == null) {
                    s.client = new ControlClient(proxies.get(i).control());
                }
                take(s, s.client.call(ControlClient.request("status")), seconds);
            } catch (IOException e) {
                s.client = null;
                s.sight = AWAY;
                s.perSecond = 0;
                s.phase = "away";
            }
            all += s.perSecond;
        }
        StringBuilder line = new StringBuilder("  parts");
        for (Seen s : seen) {
            line.append(String.format(Locale.ROOT, " %3.0f%%", all == 0 ? 0 : 100 * s.perSecond / all));
            if (!s.phase.equals("serving")) {
                line.append(
                        s.phase.equals("away")
                                ? " (away)"
                                : String.format(Locale.ROOT, " (%s %.0f%%)", s.phase, 100 * s.share));
            }
        }
        text = line.toString();
        if (views.size() < MOST_LOOKS) {
            views.add(new Look(now, seen.stream().map(s -> s.sight).toList(), staleDecisions));
        }
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // one thread writes; the others only read
    private void take(Seen s, JsonObject status, double seconds) {
        JsonObject proxy = status.getAsJsonObject("proxy");
        long pid = proxy.get("pid").getAsLong();
        long answered = proxy.get("answered").getAsLong();
        s.perSecond = pid == s.pid ? (answered - s.answered) / seconds : 0;
        s.answered = answered;
        JsonObject drain = status.getAsJsonObject("drain");
        s.phase = drain.get("phase").getAsString();
        double share = drain.get("share").getAsDouble();
        int drains = drain.get("drains").getAsInt();
        if (!s.phase.equals("serving")) {
            looks++;
            backward += pid == s.pid && drains == s.drains && share < s.share ? 1 : 0;
            s.share = share;
        }
        s.drains = drains;
        JsonObject figures = status.getAsJsonObject("figures");
        long applied = figures.get("sighup_applied").getAsLong();
        long rejected = figures.get("sighup_rejected").getAsLong();
        taken += applied - (pid == s.pid ? s.taken : 0);
        turnedDown += rejected - (pid == s.pid ? s.turnedDown : 0);
        s.taken = applied;
        s.turnedDown = rejected;
        JsonObject recovery = status.getAsJsonObject("recovery");
        long stale = recovery == null ? 0 : recovery.get("stale_decisions").getAsLong();
        staleDecisions += stale - (pid == s.pid ? s.stale : 0);
        s.stale = stale;
        s.pid = pid;
        JsonObject view = status.getAsJsonObject("view");
        s.sight = view == null || !view.get("kept").getAsBoolean()
                ? AWAY
                : new Sight(
                        view.get("digest").getAsString(),
                        view.get("living").getAsInt(),
                        view.get("refuted_deaths").getAsLong(),
                        open(status.getAsJsonObject("zones")));
    }

    private static List<Double> open(JsonObject zones) {
        List<Double> open = new ArrayList<>();
        if (zones != null
                && zones.get("kept").getAsBoolean()
                && zones.get("quorum").getAsBoolean()) {
            zones.getAsJsonArray("zones")
                    .forEach(z -> open.add(z.getAsJsonObject().get("open").getAsDouble()));
        }
        return open;
    }
}
