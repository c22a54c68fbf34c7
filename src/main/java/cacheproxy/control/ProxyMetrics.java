package cacheproxy.control;

import cacheproxy.control.MetricSample.Kind;
import cacheproxy.proxy.Proxy;
import cacheproxy.proxy.RuleCounts;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The metrics of a proxy, by the names of the operators' statsd page. */
final class ProxyMetrics {
    private ProxyMetrics() {}

    static List<MetricSample> samples(Proxy.Status status, RuleCounts rules) {
        List<MetricSample> samples = new ArrayList<>();
        status.classes().forEach((name, ends) -> {
            samples.add(counter("succeeded." + name, ends.succeeded()));
            samples.add(counter("declined." + name, ends.declined()));
            samples.add(counter("aborted." + name, ends.aborted()));
        });
        samples.add(counter("forwards", status.forwards()));
        samples.add(gauge("outstanding", status.owed()));
        samples.add(gauge("discovered", status.discovered()));
        samples.add(gauge("ejected", status.ejected()));
        samples.add(counter("sighup_applied", status.applied()));
        samples.add(counter("sighup_rejected", status.rejected()));
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
