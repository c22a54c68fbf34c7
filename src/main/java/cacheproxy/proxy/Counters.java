package cacheproxy.proxy;

import cacheproxy.metrics.Metric;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts outcomes of requests and attempts since the start of the process. Each is counted once, where it is decided. A
 * class that the settings no longer name keeps its counts, since a counter must never go down. Event loop only.
 */
public final class Counters {
    /** How many classes that the settings no longer name are kept; those removed first are dropped first. */
    static final int MAX_REMOVED_CLASSES = 256;

    /** Outcomes of the requests of one class. */
    public static final class ClassCounts {
        private long succeeded;
        private long rejected;
        private long failed;

        /** Answered with a server's response. */
        public long succeeded() {
            return succeeded;
        }

        /** Refused; a repeat was harmless. */
        public long rejected() {
            return rejected;
        }

        /** Ended without a response though they may have run. */
        public long failed() {
            return failed;
        }
    }

    private final Map<String, ClassCounts> classes = new LinkedHashMap<>();
    private final long[] counts = new long[Metric.values().length];
    private long forwards;
    private long reloadsApplied;
    private long reloadsRejected;

    /** Sets the classes that the settings name now; they are reported from here on, at 0 before any request. */
    void retainClasses(Set<String> names) {
        for (String name : names) {
            ClassCounts existing = classes.remove(name);
            classes.put(name, existing == null ? new ClassCounts() : existing); // behind those that were removed
        }
        while (classes.size() - names.size() > MAX_REMOVED_CLASSES) {
            classes.remove(classes.keySet().iterator().next());
        }
    }

    /** Counts a completed request of this class; one of an unknown class is not counted. */
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

    /** Adds one to this metric. */
    public void increment(Metric metric) {
        counts[metric.ordinal()]++;
    }

    /** The value of this metric. */
    long count(Metric metric) {
        return counts[metric.ordinal()];
    }

    /** Counts an attempt that was written completely to a cache node, or to the origin in its place. */
    void recordForward() {
        forwards++;
    }

    /** Counts a settings file read at SIGHUP, applied or rejected. */
    public void recordReload(boolean applied) {
        if (applied) {
            reloadsApplied++;
        } else {
            reloadsRejected++;
        }
    }

    /** The outcomes by class name. */
    public Map<String, ClassCounts> classes() {
        return classes;
    }

    /** Attempts fully written to cache nodes or the origin. */
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
