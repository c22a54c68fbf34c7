package cacheproxy.routing;

/** The end of an attempt. {@code requestCompleted}: the request has had its final answer; report: null if none. */
public record AttemptEnd(
        int request,
        int attempt,
        int server,
        AttemptOutcome outcome,
        double elapsedMs,
        boolean requestCompleted,
        int note,
        float[] report) {}
