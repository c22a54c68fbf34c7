package cacheproxy.proxy.upstream;

import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.routing.LoadReportSource;
import java.util.List;

/** Parses the load reports of servers, from the source that the settings name. Event loop only. */
final class LoadReports {
    private final UpstreamContext context;

    LoadReports(UpstreamContext context) {
        this.context = context;
    }

    /** The names of the figures in a load report, in the order of its values. */
    List<String> fields() {
        return context.settings().loadReportFields();
    }

    /** Parses the load report of a response; null where the settings say that responses have none. */
    float[] parse(String text) {
        return context.settings().loadReportSource() == LoadReportSource.WITH_RESPONSES
                ? MetaCodec.loadReport(text, fields())
                : null;
    }

    /** Whether health checks ask for a load report. */
    boolean inHealthChecks() {
        return context.settings().loadReportSource() == LoadReportSource.BY_HEALTH_CHECK;
    }
}
