package cacheproxy.metrics;

import java.util.ArrayList;
import java.util.List;

/** The latest steps of all requests, so that one request can be followed by its id. Bounded; the oldest go first. */
public final class RequestTrace {
    /** The maximum number of steps that are kept. */
    public static final int CAPACITY = 2048;
    /** Only so many characters of a longer id are kept and compared. */
    static final int MAX_ID_LENGTH = 64;

    /** What happened to a request. */
    public enum Step {
        /** It was received completely and accepted. */
        ACCEPTED("accepted"),
        /** The load balancer ordered an attempt. */
        ATTEMPT_ORDERED("attempt_ordered"),
        /** An attempt was not sent, as a safety rule forbids it. */
        ATTEMPT_FORBIDDEN("attempt_forbidden"),
        /** The bytes of an attempt were written. */
        ATTEMPT_SENT("attempt_sent"),
        /** An attempt ended. */
        ATTEMPT_ENDED("attempt_ended"),
        /** It was answered, or its client disconnected. */
        COMPLETED("completed");

        private final String key;

        Step(String key) {
            this.key = key;
        }

        /** The name in answers to operators. */
        public String key() {
            return key;
        }
    }

    /**
     * One step.
     *
     * @param atMs its time, in milliseconds of the instance's monotonic clock
     * @param requestId the beginning of the request's id as its client sent it
     * @param attempt the index of the attempt; negative if the step concerns the request
     * @param server the id of the attempt's server
     * @param detail the outcome, or the rule that forbids; empty if there is none
     */
    public record Entry(double atMs, String requestId, Step step, int attempt, int server, String detail) {
        /** Truncates the id. */
        public Entry {
            requestId = truncated(requestId);
        }
    }

    private static String truncated(String requestId) {
        return requestId.length() <= MAX_ID_LENGTH ? requestId : requestId.substring(0, MAX_ID_LENGTH);
    }

    private final Entry[] entries = new Entry[CAPACITY];
    private int next;

    /** Records a step of a request. */
    public void record(double atMs, String requestId, Step step, String detail) {
        record(new Entry(atMs, requestId, step, -1, 0, detail));
    }

    /** Records a step of an attempt. */
    public void record(Entry entry) {
        entries[next] = entry;
        next = (next + 1) % CAPACITY;
    }

    /** The steps of a request that are still kept, the earliest first. */
    public List<Entry> of(String requestId) {
        String wanted = truncated(requestId);
        List<Entry> found = new ArrayList<>();
        for (int i = 0; i < CAPACITY; i++) {
            Entry entry = entries[(next + i) % CAPACITY];
            if (entry != null && entry.requestId().equals(wanted)) {
                found.add(entry);
            }
        }
        return found;
    }
}
