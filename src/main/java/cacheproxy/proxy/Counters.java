package cacheproxy.proxy;

import cacheproxy.metrics.Work;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * What has come of requests and attempts since the process began. Each is counted once, where its one end is decided. A
 * class that the settings name no more keeps its counts: what only grows must not vanish.
 */
final class Counters {
    /** Of classes that the settings name no more; beyond, the counts of those that vanished first are given up. */
    static final int MAX_VANISHED = 256;

    /** What comes of a request. */
    enum Ending {
        /** Answered with what a server made for it. */
        SUCCEEDED,
        /** Refused: trying again is harmless. */
        DECLINED,
        /** Failed, or rejected as no request that could be carried out. */
        ABORTED,
        /** Its client left before. Counts for nothing. */
        GONE
    }

    /** One class. */
    static final class Tally {
        private long succeeded;
        private long declined;
        private long aborted;

        long succeeded() {
            return succeeded;
        }

        long declined() {
            return declined;
        }

        long aborted() {
            return aborted;
        }
    }

    private final Map<String, Tally> classes = new LinkedHashMap<>();
    private final long[] done = new long[Work.values().length];
    private long forwards;
    private long applied;
    private long rejected;

    /** These classes are in the settings now; they are told of from here on, at 0 if nothing has come. */
    void know(Set<String> names) {
        for (String name : names) {
            Tally tally = classes.remove(name);
            classes.put(name, tally == null ? new Tally() : tally); // behind those that have vanished
        }
        while (classes.size() - names.size() > MAX_VANISHED) {
            classes.remove(classes.keySet().iterator().next());
        }
    }

    /** A request of this class has ended; one of a class that is not known counts for nothing. */
    void ended(String name, Ending ending) {
        Tally tally = classes.get(name);
        if (tally == null) {
            return;
        }
        switch (ending) {
            case SUCCEEDED -> {
                tally.succeeded++;
                did(Work.SERVED);
            }
            case DECLINED -> {
                tally.declined++;
                did(Work.REFUSED);
            }
            case ABORTED -> {
                tally.aborted++;
                did(Work.FAILED);
            }
            case GONE -> {}
        }
    }

    /** This was done once more. */
    void did(Work work) {
        done[work.ordinal()]++;
    }

    /** How often this was done. */
    long done(Work work) {
        return done[work.ordinal()];
    }

    /** An attempt has been written whole to a cache node, or to the origin in its place. */
    void forwarded() {
        forwards++;
    }

    /** A file read at SIGHUP was taken, or turned down. */
    void reloaded(boolean taken) {
        if (taken) {
            applied++;
        } else {
            rejected++;
        }
    }

    Map<String, Tally> classes() {
        return classes;
    }

    long forwards() {
        return forwards;
    }

    long applied() {
        return applied;
    }

    long rejected() {
        return rejected;
    }
}
