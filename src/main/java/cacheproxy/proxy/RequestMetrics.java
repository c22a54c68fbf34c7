package cacheproxy.proxy;

/** Metrics of completed requests: how many, with which outcome, and when the first succeeded. Event loop only. */
final class RequestMetrics {
    private static final long NONE_YET = -1;

    private final Counters counters;
    private final ProxyClock clock;
    private final double startedMs;
    private long firstServedMs = NONE_YET;
    private long completed;

    RequestMetrics(Counters counters, ProxyClock clock) {
        this.counters = counters;
        this.clock = clock;
        startedMs = clock.now();
    }

    /** Counts an accepted request that is completed. */
    void recordOutcome(ClientRequest request, RequestOutcome outcome) {
        completed++;
        if (outcome == RequestOutcome.SUCCEEDED && firstServedMs < 0) {
            firstServedMs = Math.round(clock.now() - startedMs);
        }
        counters.recordOutcome(request.serviceClass.name(), outcome);
    }

    /** Counts a request that was invalid and so not accepted. */
    void recordInvalid(ClientRequest request) {
        counters.recordOutcome(request.command.terms.className(), RequestOutcome.FAILED);
    }

    /** When the dispatcher was created, on the clock of {@link ProxyClock#now}. */
    double startedMs() {
        return startedMs;
    }

    /** Milliseconds from then to the first request that succeeded; negative: none yet. */
    long firstServedMs() {
        return firstServedMs;
    }

    /** How many accepted requests are completed, including those whose clients disconnected. */
    long completed() {
        return completed;
    }
}
