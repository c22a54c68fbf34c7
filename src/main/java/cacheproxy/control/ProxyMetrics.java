package cacheproxy.control;

import cacheproxy.control.MetricSample.Kind;
import cacheproxy.proxy.RuleCounts;
import cacheproxy.proxy.lifecycle.ProxyStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The metrics of a proxy, by their documented statsd names. */
final class ProxyMetrics {
    private ProxyMetrics() {}

    static List<MetricSample> samples(ProxyStatus status, RuleCounts rules) {
        List<MetricSample> samples = new ArrayList<>();
        status.outcomesByClass().forEach((name, ends) -> {
            samples.add(counter("succeeded." + name, ends.succeeded()));
            samples.add(counter("declined." + name, ends.rejected()));
            samples.add(counter("aborted." + name, ends.failed()));
        });
        samples.add(counter("forwards", status.forwardedAttempts()));
        samples.add(gauge("outstanding", status.openRequests()));
        samples.add(gauge("discovered", status.discoveredNodes()));
        samples.add(gauge("ejected", status.ejectedNodes()));
        samples.add(counter("sighup_applied", status.reloadsApplied()));
        samples.add(counter("sighup_rejected", status.reloadsRejected()));
        new TreeMap<>(rules.forbidden()).forEach((rule, count) -> samples.add(counter("forbidden." + rule, count)));
        new TreeMap<>(rules.violations()).forEach((rule, count) -> samples.add(counter("breaches." + rule, count)));
        return samples;
    }

    private static MetricSample counter(String name, long value) {
        return new MetricSample(name, Kind.COUNTER, value);
    }

    private static MetricSample gauge(String name, long value) {
        return new MetricSample(name, Kind.GAUGE, value);
    }
}
