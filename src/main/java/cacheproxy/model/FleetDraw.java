package cacheproxy.model;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadReportSource;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import cacheproxy.routing.Tenant;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A deployment, drawn from a seed within the ranges that the operators state for theirs. Times are in milliseconds.
 *
 * @param instances proxies, 1 to 4,096
 * @param nodes cache nodes, 2 to 4,096
 * @param zones data centres; instances and nodes are assigned to them round-robin
 * @param load request rate divided by the capacity of the nodes
 * @param fastShare the share of nodes that are fast
 * @param workMs mean time that a node of speed 1 needs for a read
 * @param places the connection limit of a node
 * @param queue the requests that may wait at a node besides the one in service
 * @param handshakeMs time that a node spends on a new connection
 * @param sameMs one-way delay within a zone
 * @param crossMs one-way delay between zones
 * @param coldFrom the share of its capacity that a node has when it starts
 * @param warmMs the time after which it has all of it
 * @param hits the hit ratio of reads that one pooled cache of the fleet's size would reach
 * @param originMs mean time of a fetch at the origin
 * @param headroom the origin's capacity over the fetches that are left then
 * @param lines the lines that discovery can send a second, to all together; of one call each it takes all within 2 to 8
 *     s
 * @param callLines cost of a call besides the entries of its response, in lines
 * @param noticeMs the delay after which discovery learns of a change
 * @param retries how often a client retries
 * @param tryShare the share of a class's deadline that a client waits for one try
 * @param traffic which keys are requested, and at which instances
 * @param seed the random seed of the whole run
 */
public record FleetDraw(
        int instances,
        int nodes,
        int zones,
        double load,
        double fastShare,
        double workMs,
        int places,
        int queue,
        double handshakeMs,
        double sameMs,
        double crossMs,
        double coldFrom,
        double warmMs,
        double hits,
        double originMs,
        double headroom,
        double lines,
        int callLines,
        double noticeMs,
        int retries,
        double tryShare,
        Traffic traffic,
        long seed) {
    /**
     * Which keys are requested, and at which instances.
     *
     * @param zipf exponent of the Zipf distribution of key popularity
     * @param offset added to a key's rank in that distribution; flattens its head
     * @param busyOneIn one instance in this many is busy
     * @param busyTimes traffic of a busy instance relative to the others
     * @param marked whether clients mark their retries
     */
    public record Traffic(double zipf, double offset, int busyOneIn, double busyTimes, boolean marked) {
        /** Weakly skewed keys, and few instances with several times the others' traffic. */
        public static final Traffic USUAL = new Traffic(0.9, 16, 20, 4, true);
    }

    /** The origin's endpoint kind. */
    static final int ORIGIN_KIND = 2;
    /** The origin's id; nodes are numbered from 1. */
    static final int ORIGIN = 1_000_000;

    static final double CONNECT_TIMEOUT_MS = 100;
    static final double DRAIN_GRACE_MS = 2000;
    static final double ASK_WITHIN_MS = 10_000;
    static final double IDLE_CLOSE_MS = 21_000;
    static final int STREAMS = 128;
    static final double COLD_MULTIPLE = 3;
    static final double COLD_WINDOW_MS = 1500;
    static final double START_CAPACITY = 0.3;
    static final double WARM_UP_MS = 9000;
    /** The instances' settings for cold nodes. */
    static final ColdLoad.Limits COLD_LIMITS =
            new ColdLoad.Limits(START_CAPACITY, WARM_UP_MS, COLD_MULTIPLE, COLD_WINDOW_MS);

    static final double FAST = 1.8;
    static final double SLOW = 0.9;

    /** The service classes; {@link #classOf} draws among them. */
    static final List<ServiceClass> CLASSES = List.of(
            new ServiceClass("seg-text", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 250, 1000, 1, 0.35, false),
            new ServiceClass("seg-image", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.35, false),
            new ServiceClass(
                    "fix-submit", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 250, 600, 5, 0.35, false),
            new ServiceClass(
                    "track-publish", Idempotency.KEYED, DeduplicationScope.ALL, 1500, 500, 1000, 10, 0.35, false));

    private static final double[] UP_TO = {0.57, 0.955, 0.982, 1};

    /** @throws IllegalArgumentException where a size is out of range; the message names it */
    public FleetDraw {
        if (instances < 1 || instances > 4096 || nodes < 2 || nodes > 4096 || zones < 1 || zones > 16) {
            throw new IllegalArgumentException(instances + " instances before " + nodes + " nodes in " + zones
                    + " zones; it takes 1 to 4096, 2 to 4096 and 1 to 16");
        }
        if (!(load > 0 && load <= 10) || places < 1 || queue < 0 || !(coldFrom > 0 && coldFrom <= 1)) {
            throw new IllegalArgumentException("a load of " + load + ", " + places + " places, a queue of " + queue
                    + " or a cold start from " + coldFrom + " makes no sense");
        }
    }

    /**
     * A deployment of that size, the rest within the site's ranges; the load is what their standing test has for a
     * fleet of that size: some ten requests a second at an instance where there are more of these than nodes.
     */
    public static FleetDraw of(int instances, int nodes, long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        return new FleetDraw(
                instances,
                nodes,
                4,
                in(r, 0.4, 0.55),
                in(r, 0.5, 0.68),
                in(r, 37, 67),
                (int) in(r, 37, 48),
                (int) Math.round(in(r, 1.2, 3.8)),
                in(r, 1.9, 4),
                in(r, 0.1, 0.32),
                in(r, 1.4, 2.6),
                in(r, 0.3, 0.6),
                in(r, 3000, 9000),
                in(r, 0.87, 0.96),
                in(r, 20, 60),
                in(r, 1.6, 2.6),
                Math.max(1, instances / in(r, 2, 8)) * (77 + nodes),
                (int) in(r, 31, 77),
                in(r, 420, 2000),
                (int) in(r, 1, 3),
                in(r, 0.5, 0.8),
                Traffic.USUAL,
                seed);
    }

    private static double in(SplittableRandom r, double low, double high) {
        return low + r.nextDouble() * (high - low);
    }

    /** A copy with another load. */
    public FleetDraw withLoad(double other) {
        return new FleetDraw(
                instances,
                nodes,
                zones,
                other,
                fastShare,
                workMs,
                places,
                queue,
                handshakeMs,
                sameMs,
                crossMs,
                coldFrom,
                warmMs,
                hits,
                originMs,
                headroom,
                lines,
                callLines,
                noticeMs,
                retries,
                tryShare,
                traffic,
                seed);
    }

    /** A copy with other traffic. */
    public FleetDraw withTraffic(Traffic other) {
        return new FleetDraw(
                instances,
                nodes,
                zones,
                load,
                fastShare,
                workMs,
                places,
                queue,
                handshakeMs,
                sameMs,
                crossMs,
                coldFrom,
                warmMs,
                hits,
                originMs,
                headroom,
                lines,
                callLines,
                noticeMs,
                retries,
                tryShare,
                other,
                seed);
    }

    /** A copy with another connection limit per node. */
    public FleetDraw withPlaces(int other) {
        return new FleetDraw(
                instances,
                nodes,
                zones,
                load,
                fastShare,
                workMs,
                other,
                queue,
                handshakeMs,
                sameMs,
                crossMs,
                coldFrom,
                warmMs,
                hits,
                originMs,
                headroom,
                lines,
                callLines,
                noticeMs,
                retries,
                tryShare,
                traffic,
                seed);
    }

    /** The index of the class for a random number from 0 to 1. */
    static int classOf(double draw) {
        int c = 0;
        while (c < UP_TO.length - 1 && draw >= UP_TO[c]) {
            c++;
        }
        return c;
    }

    /** First tries per second, of all clients. */
    double perSecond() {
        return load * nodes * (fastShare * FAST + (1 - fastShare) * SLOW) * 1000 / workMs;
    }

    /** The routing settings of an instance. */
    RoutingSettings settings(int me) {
        return new RoutingSettings(
                me,
                instances,
                me % zones,
                zones,
                3,
                true,
                true,
                ORIGIN_KIND,
                LoadReportSource.NONE,
                List.of(),
                false,
                1,
                true,
                false,
                true,
                true,
                true,
                3,
                500,
                CONNECT_TIMEOUT_MS,
                DRAIN_GRACE_MS,
                20,
                START_CAPACITY,
                WARM_UP_MS,
                COLD_MULTIPLE,
                COLD_WINDOW_MS,
                ASK_WITHIN_MS,
                0,
                0,
                CLASSES,
                List.of(new Tenant("all", 1, perSecond())));
    }
}
