package cacheproxy.emulator;

import java.util.List;

/**
 * What a fleet of stand-ins is like.
 *
 * @param nodes cache nodes, 1 to 1,000
 * @param proxies proxies that it is for, 1 to 64; each has listeners of its own at every node, so that a node can tell
 *     who sends
 * @param seed of everything that is drawn
 * @param classes the classes that clients send
 * @param workMs mean work of a read, in milliseconds of a core of speed 1; 0 for none
 * @param originMs mean time of a fetch at the origin
 * @param originSlots fetches that the origin works on at once
 * @param cacheEntries keys that a node holds
 * @param queue commands that wait at a node beside the one it works on, before it turns away
 * @param connections that a node accepts at most
 * @param values how long values are, at least
 * @param heldAtStart the share of all keys, 0 to 1, that a node which is warm at the start holds when first asked
 * @param noticeMs how late the roster and the front layer see a change
 * @param warmUpMs how long a node that has just started is cold
 * @param drainGraceMs how long after it was told a proxy may still send to a node that drains
 * @param answerGraceMs how much later than its deadline an answer may come
 * @param listLines lines of lists that discovery can send a second, to all proxies together
 * @param layout where proxies and nodes stand
 */
public record FleetSpec(
        int nodes,
        int proxies,
        long seed,
        List<TrafficClass> classes,
        double workMs,
        double originMs,
        int originSlots,
        int cacheEntries,
        int queue,
        int connections,
        ValueSizes values,
        double heldAtStart,
        double noticeMs,
        double warmUpMs,
        double drainGraceMs,
        double answerGraceMs,
        int listLines,
        Layout layout) {

    /** The rules' figures: a cold node falls when sent this many times what it can do over this time. */
    static final double FALL_MULTIPLE = 3;

    static final double FALL_MS = 1500;
    static final double COLD_FROM = 0.3;
    /** How many mean requests more a cold node stands, for chance. */
    static final double SLACK_REQUESTS = 5;
    /** How long repeats of a keyed write are dropped. */
    static final double REPEAT_WINDOW_MS = 1500;

    /** Checks the ranges. */
    public FleetSpec {
        range("nodes", nodes, 1, 1000);
        range("proxies", proxies, 1, 64);
        range("work", workMs, 0, 60_000);
        range("origin time", originMs, 0, 60_000);
        range("origin slots", originSlots, 1, 10_000);
        range("cache entries", cacheEntries, 1, 10_000_000);
        range("queue", queue, 0, 100_000);
        range("connections", connections, 1, 100_000);
        range("share of keys held at the start", heldAtStart, 0, 1);
        range("notice", noticeMs, 0, 60_000);
        range("warm-up", warmUpMs, 0, 600_000);
        range("drain grace", drainGraceMs, 0, 60_000);
        range("answer grace", answerGraceMs, 0, 60_000);
        range("list lines", listLines, 1, 1e6);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("a fleet serves at least one class");
        }
    }

    private static void range(String what, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(what + " is " + value + "; it takes " + least + " to " + most);
        }
    }

    /** A fleet like that of the first installation, with work small enough for one machine. */
    public static FleetSpec standard(int nodes, int proxies, long seed) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                TrafficClass.SUBTITLES,
                3,
                25,
                8,
                20_000,
                60,
                42,
                ValueSizes.of(400),
                0.92,
                1500,
                9000,
                2000,
                50,
                200,
                Layout.PLAIN);
    }

    /** This with other classes. */
    public FleetSpec withClasses(List<TrafficClass> other) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                other,
                workMs,
                originMs,
                originSlots,
                cacheEntries,
                queue,
                connections,
                values,
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                layout);
    }

    /** This with nodes and an origin of other speed. */
    public FleetSpec withWork(double work, double origin) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                work,
                origin,
                originSlots,
                cacheEntries,
                queue,
                connections,
                values,
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                layout);
    }

    /** This with other bounds at each node. */
    public FleetSpec withBounds(int entries, int waiting, int accepted, int bytes) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                originSlots,
                entries,
                waiting,
                accepted,
                ValueSizes.of(bytes),
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                layout);
    }

    /** This with values of other lengths. */
    public FleetSpec withValues(ValueSizes other) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                originSlots,
                cacheEntries,
                queue,
                connections,
                other,
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                layout);
    }

    /** This with nodes that hold another share of the keys at the start. */
    public FleetSpec withHeld(double share) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                originSlots,
                cacheEntries,
                queue,
                connections,
                values,
                share,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                layout);
    }

    /** This with other times of notice, warm-up and grace. */
    public FleetSpec withTimes(double notice, double warmUp, double drainGrace, double answerGrace) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                originSlots,
                cacheEntries,
                queue,
                connections,
                values,
                heldAtStart,
                notice,
                warmUp,
                drainGrace,
                answerGrace,
                listLines,
                layout);
    }

    /** This with an origin that works on so many fetches at once. */
    public FleetSpec withOriginSlots(int slots) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                slots,
                cacheEntries,
                queue,
                connections,
                values,
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                layout);
    }

    /** This with a discovery that can send so many lines a second. */
    public FleetSpec withListLines(int lines) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                originSlots,
                cacheEntries,
                queue,
                connections,
                values,
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                lines,
                layout);
    }

    /** This with proxies and nodes elsewhere. */
    public FleetSpec withLayout(Layout other) {
        return new FleetSpec(
                nodes,
                proxies,
                seed,
                classes,
                workMs,
                originMs,
                originSlots,
                cacheEntries,
                queue,
                connections,
                values,
                heldAtStart,
                noticeMs,
                warmUpMs,
                drainGraceMs,
                answerGraceMs,
                listLines,
                other);
    }

    ColdStart.Settings coldStart() {
        return new ColdStart.Settings(COLD_FROM, warmUpMs, FALL_MULTIPLE, FALL_MS, SLACK_REQUESTS * workMs);
    }
}
