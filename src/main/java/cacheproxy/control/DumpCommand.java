package cacheproxy.control;

/** {@code DUMP}: all metrics in the line format of statsd, then {@code END}. */
final class DumpCommand implements AdminCommand {
    private static final String PREFIX = "edge_balancer.";
    private static final int USUAL_LENGTH = 1024;

    @Override
    public String wireName() {
        return "DUMP";
    }

    @Override
    public String answer(ControlRegistry registry) {
        StringBuilder text = new StringBuilder(USUAL_LENGTH);
        for (MetricSample metric : registry.metrics()) {
            text.append(PREFIX)
                    .append(metric.name())
                    .append(':')
                    .append(metric.value())
                    .append('|')
                    .append(statsdType(metric.kind()))
                    .append('\n');
        }
        return text.append("END\n").toString();
    }

    private static char statsdType(MetricSample.Kind kind) {
        return switch (kind) {
            case COUNTER -> 'c';
            case GAUGE -> 'g';
        };
    }
}
