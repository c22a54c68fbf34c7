package cacheproxy.emulator;

import java.util.List;

/**
 * The parameters of an emulated fleet.
 *
 * @param nodes cache nodes, 1 to 1,000
 * @param proxies proxies under test, 1 to 64; every node has a separate listener for each, to tell the senders apart
 * @param seed the seed of all random choices
 * @param classes the service classes that clients send
 * @param workMs mean work of a read, in milliseconds on a core of speed 1; 0 for none
 * @param originMs mean service time of a fetch at the origin
 * @param originSlots fetches that the origin processes in parallel
 * @param cacheEntries maximum number of keys that a node stores
 * @param queue commands that may wait at a node beside the one in progress; further ones are rejected
 * @param connections maximum number of connections per node
 * @param values the minimum length of values
 * @param heldAtStart the share of all keys, 0 to 1, that a node has cached at the start
 * @param noticeMs the delay after which the host list and the front layer reflect a change
 * @param warmUpMs the warm-up time of a node after a start
 * @param drainGraceMs how long a proxy may still send to a draining node after it was told of the drain
 * @param answerGraceMs how long after its deadline a response is still accepted
 * @param listLines list entries that discovery can send per second, to all proxies together
 * @param layout the placement of proxies and nodes
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

    /** A cold node collapses if it is sent this multiple of its capacity over {@link #FALL_MS}. */
    static final double FALL_MULTIPLE = 3;

    static final double FALL_MS = 1500;
    static final double COLD_FROM = 0.3;
    /** Additional mean requests that a cold node tolerates, to allow for random bursts. */
    static final double SLACK_REQUESTS = 5;
    /** The window within which repeats of a keyed write are deduplicated. */
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

    /** A fleet modelled on the first installation, with work small enough for one machine. */
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

    /** A copy with other classes. */
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

    /** A copy with other service times of nodes and origin. */
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

    /** A copy with other limits per node. */
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

    /** A copy with other value lengths. */
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

    /** A copy with another share of keys cached at the start. */
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

    /** A copy with other notice, warm-up and grace times. */
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

    /** A copy with another number of parallel fetches at the origin. */
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

    /** A copy with another rate of list entries at discovery. */
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

    /** A copy with another placement of proxies and nodes. */
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
