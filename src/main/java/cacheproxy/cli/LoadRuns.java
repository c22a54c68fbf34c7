package cacheproxy.cli;

import cacheproxy.load.Generator;
import cacheproxy.load.HtmlReport;
import cacheproxy.load.Report;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** Runs a load generator with progress output and writes its reports; shared by {@code load} and {@code demo}. */
final class LoadRuns {
    private LoadRuns() {}

    /** Runs to completion and prints one progress line per second. */
    static Report run(Generator generator, PrintWriter out, Supplier<String> more) throws Exception {
        CompletableFuture<Report> done = generator.start();
        while (true) {
            try {
                return done.get(1, TimeUnit.SECONDS);
            } catch (TimeoutException e) {
                out.println(generator.progress().text() + more.get());
                out.flush();
            } catch (ExecutionException e) {
                throw new IOException("the run broke off: " + e.getCause(), e);
            }
        }
    }

    static void write(Report report, String title, Path json, Path hlog, Path html) throws IOException {
        if (json != null) {
            report.writeJson(json);
        }
        if (hlog != null) {
            report.writeHlog(hlog);
        }
        if (html != null) {
            HtmlReport.write(report, title, html);
        }
    }
}
