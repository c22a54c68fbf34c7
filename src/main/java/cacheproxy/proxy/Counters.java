package cacheproxy.proxy;

import cacheproxy.metrics.Metric;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts outcomes of requests and attempts since the start of the process. Each is counted once, where it is decided. A
 * service class that was removed from the settings keeps its counts, since a counter must never decrease. Event loop
 * only.
 */
public final class Counters {
    /** How many classes that were removed from the settings are kept; those removed first are evicted first. */
    static final int MAX_REMOVED_CLASSES = 256;

    /** Outcomes of the requests of one service class. */
    public static final class ClassCounts {
        private long succeeded;
        private long rejected;
        private long failed;

        /** Requests answered with a server's response. */
        public long succeeded() {
            return succeeded;
        }

        /** Requests rejected, with a promise that a repeat is harmless. */
        public long rejected() {
            return rejected;
        }

        /** Requests that ended without a server's response and may have been executed, and invalid ones. */
        public long failed() {
            return failed;
        }
    }

    private final Map<String, ClassCounts> classes = new LinkedHashMap<>();
    private final long[] counts = new long[Metric.values().length];
    private long forwards;
    private long reloadsApplied;
    private long reloadsRejected;

    /** Sets the service classes in the settings; they are reported from now on, with 0 before any request. */
    void retainClasses(Set<String> names) {
        for (String name : names) {
            ClassCounts existing = classes.remove(name);
            classes.put(
                    name, existing == null ? new ClassCounts() : existing); // re-inserted behind the removed classes
        }
        while (classes.size() - names.size() > MAX_REMOVED_CLASSES) {
            classes.remove(classes.keySet().iterator().next());
        }
    }

    /** Counts a completed request of a service class; one of an unknown class is not counted. */
    public void recordOutcome(String className, RequestOutcome outcome) {
        ClassCounts classCounts = classes.get(className);
        if (classCounts == null) {
            return;
        }
        switch (outcome) {
            case SUCCEEDED -> {
                classCounts.succeeded++;
                increment(Metric.REQUESTS_SUCCEEDED);
            }
            case REJECTED -> {
                classCounts.rejected++;
                increment(Metric.REQUESTS_REJECTED);
            }
            case FAILED -> {
                classCounts.failed++;
                increment(Metric.REQUESTS_FAILED);
            }
            case CLIENT_DISCONNECTED -> {}
        }
    }

    /** Increments a metric. */
    public void increment(Metric metric) {
        counts[metric.ordinal()]++;
    }

    /** The value of a metric. */
    long count(Metric metric) {
        return counts[metric.ordinal()];
    }

    /** Counts an attempt that was written completely to a cache node or the origin. */
    void recordForward() {
        forwards++;
    }

    /** Counts a configuration reload, applied or rejected. */
    public void recordReload(boolean applied) {
        if (applied) {
            reloadsApplied++;
        } else {
            reloadsRejected++;
        }
    }

    /** The outcomes by the name of the service class. */
    public Map<String, ClassCounts> classes() {
        return classes;
    }

    /** Attempts written completely to cache nodes or the origin. */
    public long forwards() {
        return forwards;
    }

    /** Configuration reloads that took effect. */
    public long reloadsApplied() {
        return reloadsApplied;
    }

    /** Configuration reloads that were rejected. */
    public long reloadsRejected() {
        return reloadsRejected;
    }
}
