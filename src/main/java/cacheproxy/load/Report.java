package cacheproxy.load;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/**
 * The result of a run. {@code requests} is the sum of the four outcomes, and {@code latency} includes all of them; an
 * unanswered request counts with its whole deadline. Histograms are in microseconds.
 *
 * @param rateAsked scheduled requests per second
 * @param rateSent requests per second as sent
 * @param keptSchedule whether requests were sent at their scheduled times, within the limit on lag
 * @param seconds from the end of the warm-up to the last request sent
 * @param lag how late each request was sent
 * @param connectionsShort number of configured connections that the file descriptor limit ruled out
 * @param pauses the generator's own pauses, which the target did not cause
 */
public record Report(
        long requests,
        long served,
        long refused,
        long failed,
        long unanswered,
        double rateAsked,
        double rateSent,
        boolean keptSchedule,
        double seconds,
        long connectErrors,
        long resets,
        long outOfTurn,
        long resent,
        long connectionsOpened,
        long outOfRoom,
        long connectionsShort,
        Histogram latency,
        Histogram lag,
        Histogram pauses,
        List<Recorder.Row> rows,
        Workload.Unreadable unreadable) {

    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};
    private static final String[] NAMES = {"p50", "p90", "p99", "p999"};

    static Report of(
            Recorder r,
            double rateAsked,
            double rateSent,
            boolean kept,
            double seconds,
            Histogram pauses,
            Workload.Unreadable unreadable) {
        r.latency.setEndTimeStamp(System.currentTimeMillis());
        r.lag.setEndTimeStamp(System.currentTimeMillis());
        return new Report(
                r.requests(),
                r.served,
                r.refused,
                r.failed,
                r.unanswered,
                rateAsked,
                rateSent,
                kept,
                seconds,
                r.connectErrors,
                r.resets,
                r.outOfTurn,
                r.resent,
                r.opened,
                r.outOfRoom,
                r.connectionsShort,
                r.latency,
                r.lag,
                pauses,
                r.rows(),
                unreadable);
    }

    // ---- JSON

    /** The report as a JSON object, including its histograms, so that reports can be merged. */
    public JsonObject json() {
        JsonObject o = new JsonObject();
        o.addProperty("requests", requests);
        o.addProperty("served", served);
        o.addProperty("refused", refused);
        o.addProperty("failed", failed);
        o.addProperty("unanswered", unanswered);
        o.addProperty("rate_asked", rateAsked);
        o.addProperty("rate_sent", rateSent);
        o.addProperty("kept_schedule", keptSchedule);
        o.addProperty("seconds", seconds);
        o.add("latency_ms", figures(latency));
        o.add("schedule_lag_ms", figures(lag));
        o.add("own_pauses_ms", figures(pauses));
        o.addProperty("connect_errors", connectErrors);
        o.addProperty("resets", resets);
        o.addProperty("out_of_turn", outOfTurn);
        o.addProperty("resent", resent);
        o.addProperty("connections_opened", connectionsOpened);
        o.addProperty("out_of_room", outOfRoom);
        o.addProperty("connections_short", connectionsShort);
        if (unreadable != null) {
            o.add("unreadable_lines", GSON.toJsonTree(unreadable));
        }
        o.add("rows", GSON.toJsonTree(rows));
        JsonObject histograms = new JsonObject();
        histograms.addProperty("latency", encode(latency));
        histograms.addProperty("schedule_lag", encode(lag));
        histograms.addProperty("own_pauses", encode(pauses));
        o.add("histograms", histograms);
        return o;
    }

    private static JsonObject figures(Histogram h) {
        JsonObject o = new JsonObject();
        for (int i = 0; i < NAMES.length; i++) {
            o.addProperty(NAMES[i], h.getValueAtPercentile(PERCENTILES[i]) / 1e3);
        }
        o.addProperty("max", h.getMaxValue() / 1e3);
        return o;
    }

    private static String encode(Histogram h) {
        ByteBuffer buffer = ByteBuffer.allocate(h.getNeededByteBufferCapacity());
        int length = h.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
    }

    /** Writes the report as JSON to a file. */
    public void writeJson(Path file) throws IOException {
        Files.writeString(file, GSON.toJson(json()) + "\n");
    }

    /** Writes the latency histogram in the HdrHistogram log format. */
    public void writeHlog(Path file) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8)) {
            HistogramLogWriter writer = new HistogramLogWriter(out);
            writer.outputLogFormatVersion();
            writer.outputComment("latency from the intended send time, in microseconds");
            writer.outputLegend();
            writer.outputIntervalHistogram(latency);
        }
    }

    /** Reads a report that {@link #writeJson} wrote; throws an IOException if the file is not one. */
    public static Report read(Path file) throws IOException {
        try {
            JsonObject o = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
            JsonObject h = o.getAsJsonObject("histograms");
            List<Recorder.Row> rows = new ArrayList<>();
            JsonArray array = o.getAsJsonArray("rows");
            for (JsonElement e : array) {
                rows.add(GSON.fromJson(e, Recorder.Row.class));
            }
            return new Report(
                    o.get("requests").getAsLong(),
                    o.get("served").getAsLong(),
                    o.get("refused").getAsLong(),
                    o.get("failed").getAsLong(),
                    o.get("unanswered").getAsLong(),
                    o.get("rate_asked").getAsDouble(),
                    o.get("rate_sent").getAsDouble(),
                    o.get("kept_schedule").getAsBoolean(),
                    o.get("seconds").getAsDouble(),
                    o.get("connect_errors").getAsLong(),
                    o.get("resets").getAsLong(),
                    o.get("out_of_turn").getAsLong(),
                    o.get("resent").getAsLong(),
                    o.get("connections_opened").getAsLong(),
                    o.get("out_of_room").getAsLong(),
                    o.get("connections_short").getAsLong(),
                    decode(h.get("latency").getAsString()),
                    decode(h.get("schedule_lag").getAsString()),
                    decode(h.get("own_pauses").getAsString()),
                    rows,
                    o.has("unreadable_lines")
                            ? GSON.fromJson(o.get("unreadable_lines"), Workload.Unreadable.class)
                            : null);
        } catch (RuntimeException | DataFormatException e) {
            throw new IOException(file + " is no report of this generator: " + e.getMessage(), e);
        }
    }

    private static Histogram decode(String text) throws DataFormatException {
        return Histogram.decodeFromCompressedByteBuffer(
                ByteBuffer.wrap(Base64.getDecoder().decode(text)), 0);
    }

    // ---- merging

    /**
     * Merges the reports of generators that ran in parallel. Counts and rates are added, and percentiles come from the
     * merged histograms; only the rows of the time series take the highest percentile of their parts.
     */
    public static Report merge(List<Report> reports) {
        Recorder all = new Recorder();
        Histogram pauses = new Histogram(3_600_000_000L, 2);
        pauses.setAutoResize(true);
        double asked = 0;
        double sent = 0;
        double seconds = 0;
        boolean kept = true;
        long lines = 0;
        List<Long> first = new ArrayList<>();
        for (Report r : reports) {
            all.latency.add(r.latency);
            all.lag.add(r.lag);
            pauses.add(r.pauses);
            all.served += r.served;
            all.refused += r.refused;
            all.failed += r.failed;
            all.unanswered += r.unanswered;
            all.connectErrors += r.connectErrors;
            all.resets += r.resets;
            all.outOfTurn += r.outOfTurn;
            all.resent += r.resent;
            all.opened += r.connectionsOpened;
            all.outOfRoom += r.outOfRoom;
            all.connectionsShort += r.connectionsShort;
            asked += r.rateAsked;
            sent += r.rateSent;
            seconds = Math.max(seconds, r.seconds);
            kept &= r.keptSchedule;
            if (r.unreadable != null) {
                lines += r.unreadable.lines();
                first.addAll(r.unreadable.first());
            }
        }
        Report merged =
                of(all, asked, sent, kept, seconds, pauses, lines == 0 ? null : new Workload.Unreadable(lines, first));
        return merged.withRows(rows(reports));
    }

    private static List<Recorder.Row> rows(List<Report> reports) {
        List<Recorder.Row> rows = new ArrayList<>();
        for (Report r : reports) {
            for (int i = 0; i < r.rows.size(); i++) {
                if (i < rows.size()) {
                    rows.set(i, rows.get(i).with(r.rows.get(i)));
                } else {
                    rows.add(r.rows.get(i));
                }
            }
        }
        return rows;
    }

    private Report withRows(List<Recorder.Row> other) {
        return new Report(
                requests,
                served,
                refused,
                failed,
                unanswered,
                rateAsked,
                rateSent,
                keptSchedule,
                seconds,
                connectErrors,
                resets,
                outOfTurn,
                resent,
                connectionsOpened,
                outOfRoom,
                connectionsShort,
                latency,
                lag,
                pauses,
                other,
                unreadable);
    }

    // ---- text

    /** The report as a text table. */
    public String text() {
        StringBuilder s = new StringBuilder();
        s.append(String.format("%,12d requests%n", requests));
        String[] names = {"served", "refused", "failed", "unanswered"};
        long[] counts = {served, refused, failed, unanswered};
        for (int i = 0; i < names.length; i++) {
            s.append(String.format(
                    "%,12d %-11s %6.2f%%%n", counts[i], names[i], 100.0 * counts[i] / Math.max(1, requests)));
        }
        s.append(String.format("%n%-22s%10s%10s%10s%10s%10s%n", "milliseconds", "p50", "p90", "p99", "p99.9", "max"));
        line(s, "latency", latency);
        line(s, "schedule lag", lag);
        line(s, "generator's own pauses", pauses);
        s.append(String.format(
                "%n%,.1f a second asked, %,.1f sent over %.1f s: %s%n",
                rateAsked, rateSent, seconds, keptSchedule ? "schedule kept" : "SCHEDULE NOT KEPT"));
        s.append(String.format(
                "%,d connections opened, %,d not come up, %,d broke with requests on them, "
                        + "%,d requests sent once more, %,d answers out of turn%n",
                connectionsOpened, connectErrors, resets, resent, outOfTurn));
        if (outOfRoom > 0) {
            s.append("The bound on outstanding requests was reached; raise --max-outstanding.\n");
        }
        if (connectionsShort > 0) {
            s.append(String.format(
                    "The process's descriptors allow %,d connections fewer than asked for; raise " + "ulimit -n.%n",
                    connectionsShort));
        }
        if (unreadable != null && unreadable.lines() > 0) {
            s.append(String.format(
                    "%,d lines of the trace can't be read, the first: %s%n", unreadable.lines(), unreadable.first()));
        }
        return s.toString();
    }

    private static void line(StringBuilder s, String name, Histogram h) {
        s.append(String.format("%-22s", name));
        for (double p : PERCENTILES) {
            s.append(String.format("%10.2f", h.getValueAtPercentile(p) / 1e3));
        }
        s.append(String.format("%10.2f%n", h.getMaxValue() / 1e3));
    }
}
