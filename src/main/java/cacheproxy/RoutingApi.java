package cacheproxy;

import java.util.List;
import java.util.Map;

/** What the decision module is told and what it can order: its settings, events and actions. */
public interface RoutingApi {

    /** How often a request may take effect. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop a repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Where load reports come from. */
    enum Reports {
        NONE,
        WITH_ANSWERS,
        BY_PROBE
    }

    /** State of a server on the list. */
    enum State {
        GONE,
        DRAINING,
        READY
    }

    /**
     * What a list event carries. {@code FAILED}: a call for the list failed, no entries. {@code PROVISIONAL}: changes
     * that peers were told or that are undone again, no answer to a call.
     */
    enum ListKind {
        FULL,
        CHANGES,
        CACHED,
        FAILED,
        PROVISIONAL;

        /** Whether it names all servers, so that others are gone. */
        public boolean whole() {
            return this == FULL || this == CACHED;
        }
    }

    /**
     * How an attempt ended. {@code NO_PLACE}: the server holds as many connections as it takes, none of them ours; it
     * turned a new one away, unheard.
     */
    enum Outcome {
        OK(true),
        MISS(false),
        ERROR(true),
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        NO_PLACE(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** Whether the request may have taken effect (or may yet). */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /** A class of requests; times in milliseconds. */
    record ServiceClass(
            String name,
            Effect effect,
            Group group,
            double windowMs,
            double aimMs,
            double deadlineMs,
            double worth,
            double lateShare,
            boolean stream) {}

    /** A tenant and the rate, over all instances, that is within its share. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * One server of the list. {@code bornMs}: when it last started by the list's clock, 0 if long ago;
     * {@code startedMs}: the same by this instance's.
     */
    record Member(int id, int zone, int kind, int cell, State state, float weight, double bornMs, double startedMs) {
        /** One whose list and instance have the same clock. */
        public Member(int id, int zone, int kind, int cell, State state, float weight, double bornMs) {
            this(id, zone, kind, cell, state, weight, bornMs, bornMs);
        }

        /** This one, started at this time of the instance's clock. */
        public Member startedAt(double ms) {
            return new Member(id, zone, kind, cell, state, weight, bornMs, ms);
        }
    }

    /** The settings that decisions rest on. Times in milliseconds; shares, and capacity at the start, from 0 to 1. */
    record Settings(
            int me,
            int instances,
            int zone,
            int zones,
            int kinds,
            boolean askForList,
            boolean aside,
            int originKind,
            Reports reports,
            List<String> reportNames,
            boolean worthByWork,
            double overShareWorth,
            boolean mayCancel,
            boolean mayProbe,
            boolean peers,
            boolean secondCopies,
            boolean retryAdvice,
            int maxAttempts,
            double maxRetryAfterMs,
            double connectTimeoutMs,
            double drainGraceMs,
            double answerGraceMs,
            double startCapacity,
            double warmUpMs,
            double tipMultiple,
            double fallMs,
            double askWithinMs,
            double originFallMultiple,
            double originFallMs,
            List<ServiceClass> classes,
            List<Tenant> tenants) {
        /** A seed of this instance's own: a release may start all of them with one. */
        public long ownSeed(long seed) {
            return seed + me * 0x9e3779b97f4a7c15L;
        }
    }

    /**
     * A request. {@code serviceClass} and {@code tenant}: by their index in the settings; {@code dueMs}: its deadline;
     * {@code costMs}: its work, 0 where nothing tells it.
     */
    record Request(
            int id,
            int serviceClass,
            int tenant,
            long key,
            double dueMs,
            double costMs,
            float bytes,
            boolean write,
            boolean repeat) {}

    /** The end of an attempt. {@code over}: the request has had its final answer; report: null if none. */
    record AttemptEnd(
            int request,
            int attempt,
            int server,
            Outcome outcome,
            double elapsedMs,
            boolean over,
            int note,
            float[] report) {}

    int NOTE_FETCH_OUT = 3;

    /** What has been seen of a server; the times are those of events. {@code failures}: since it last answered. */
    record Seen(int id, double bornMs, int failures, double shunnedUntilMs, int doubts) {}

    /** A key that is asked for often, with its count, which fades. */
    record Hot(long key, int count) {}

    /** What was asked for and what came in time of that; both fade. */
    record Load(double asked, double answered) {}

    /** What a module has learnt in service, for another that goes on in its place. Times in milliseconds. */
    record Experience(
            double fetchMs,
            double paceMs,
            double paceDeviationMs,
            double usualCost,
            Load origin,
            Load crowd,
            double asked,
            List<Hot> hot,
            List<Seen> servers) {}

    /** What the module has met at a server: an answer in time, one that says that it lacks the key, or none in time. */
    enum Evidence {
        ANSWERED,
        MISSED,
        SILENT
    }

    /**
     * How far the fleet has a zone open: a server of it can be contacted for keys whose lot, the same at all instances,
     * lies under {@code open}, 0 to 1. {@code tries}: one request may try it all the same. {@code afresh}: what has
     * been seen of its servers is of the past.
     */
    record ZoneOrder(int zone, double open, boolean tries, boolean afresh) {}

    /** Where the module's orders go. They are carried out in order, at the time of the event. */
    interface Actions {
        /** Sends a request to a server; ended with {@link Outcome#TIMEOUT} if there is no answer within the time. */
        void place(int request, int server, double timeoutMs);

        /** Final answer: turned away, a retry is harmless. Advice 0: none. */
        void deny(int request, double retryAfterMs);

        /** Final answer: failed, nothing promised. */
        void fail(int request);

        /** Stops waiting for an attempt. */
        void cancel(int request, int attempt);

        /** Asks for {@link RoutingApi#onTimer} after this time. */
        void setTimer(double afterMs, int token);

        /** Tests a server. */
        void probe(int server);

        /** Ends those connections to a server on which nothing is under way. */
        void closeIdle(int server);

        /** Sends bytes to another instance; -1: to all. */
        void tell(int peer, byte[] message);

        /** Subscribes to changes of the list, or ends that. */
        void watch(boolean on);

        /** Asks for the whole list once. */
        void fetchList();

        /** A line for the operators. */
        void log(String line);

        /**
         * Told of what the module has met, for those who judge zones and nodes by it. Of the origin: in time or not.
         */
        default void saw(int server, Evidence what) {}
    }

    /**
     * Other settings hold from now on, for requests to come. Those under way keep their class and its terms; of
     * attempts they get no more than either allows. What has been learnt of servers stays.
     */
    void onSettings(double now, Settings settings, Actions out);

    /** Whether this server of the list gets no ordinary request now, because it drains or has failed. */
    boolean avoids(double now, int server);

    /** What has been learnt so far, by the pool's name; that of all servers has none. */
    Map<String, Experience> experience(double now);

    /** Goes on where another left off. Of servers that are not in the list, or have started since, nothing is taken. */
    void resume(double now, Map<String, Experience> learnt);

    /** News of the list of servers. */
    void onList(double now, ListKind kind, List<Member> members, Actions out);

    /** A client's request; the instance now owes exactly one final answer. */
    void onRequest(double now, Request request, Actions out);

    /** A streamed answer has begun. */
    void onFirstByte(double now, int request, int attempt, int server, Actions out);

    /** An attempt has ended. */
    void onAttemptEnd(double now, AttemptEnd end, Actions out);

    /** The client has left; no answer is owed. */
    void onGone(double now, int request, Actions out);

    /** A timer has come due. */
    void onTimer(double now, int token, Actions out);

    /** The result of a probe. */
    void onProbed(double now, int server, Outcome outcome, double elapsedMs, float[] report, Actions out);

    /** A message of another instance. */
    void onPeer(double now, int peer, byte[] message, Actions out);

    /** The fleet has zones open so far from now on; of others nothing changes. */
    void onZones(double now, List<ZoneOrder> orders, Actions out);
}
