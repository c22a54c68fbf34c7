package cacheproxy.lab;

import cacheproxy.admission.SafetyRules;
import cacheproxy.demo.ProxyProcess.Stop;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Judges the late answers that a proxy's log reports. A process that is stopped cannot answer: the time for which it
 * was stopped while it had the request is not counted, and no other time is excused. Pure.
 */
final class LateAnswerLog {
    /** How long a signal may be on its way, in milliseconds. */
    private static final long SIGNAL_DELAY_MS = 50;

    private static final Pattern LATE_ANSWER =
            Pattern.compile("answered_late .*late_ms=(\\d+) received_ms=(\\d+) queued_ms=(\\d+) open_ms=(\\d+)");

    private LateAnswerLog() {}

    /** Whether a line reports a late answer that would have been in time without these stops of its proxy. */
    static boolean isExplained(String line, List<Stop> stops) {
        Matcher late = LATE_ANSWER.matcher(line);
        if (!late.find()) {
            return false;
        }
        long receivedMs = Long.parseLong(late.group(2));
        long answeredMs = receivedMs + Long.parseLong(late.group(3)) + Long.parseLong(late.group(4));
        long stoppedMs = stops.stream()
                .mapToLong(stop -> overlapMs(stop, receivedMs, answeredMs))
                .sum();
        return Long.parseLong(late.group(1)) - stoppedMs <= SafetyRules.FINAL_ANSWER_SLACK_MS;
    }

    private static long overlapMs(Stop stop, long fromMs, long untilMs) {
        return Math.max(0, Math.min(stop.untilMs() + SIGNAL_DELAY_MS, untilMs) - Math.max(stop.fromMs(), fromMs));
    }
}
