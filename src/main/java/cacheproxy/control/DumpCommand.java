package cacheproxy.control;

/** All figures in the line form of statsd, then {@code END}. */
final class DumpCommand implements AdminCommand {
    private static final String PREFIX = "edge_balancer.";

    @Override
    public String word() {
        return "DUMP";
    }

    @Override
    public String answer(ControlRegistry registry) {
        StringBuilder text = new StringBuilder(1024);
        for (MetricSample f : registry.figures()) {
            text.append(PREFIX)
                    .append(f.name())
                    .append(':')
                    .append(f.value())
                    .append('|')
                    .append(f.kind() == MetricSample.Kind.COUNT ? 'c' : 'g')
                    .append('\n');
        }
        return text.append("END\n").toString();
    }
}
