package cacheproxy.proxy;

/** Metrics of completed requests: their number, outcomes, and the time of the first success. Event loop only. */
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

    /** Records the outcome of an accepted request when it is completed. */
    void recordOutcome(ClientRequest request, RequestOutcome outcome) {
        completed++;
        if (outcome == RequestOutcome.SUCCEEDED && firstServedMs < 0) {
            firstServedMs = Math.round(clock.now() - startedMs);
        }
        counters.recordOutcome(request.serviceClass.name(), outcome);
    }

    /** Counts a request that was not accepted: an invalid one, or one that came as the process ends. */
    void recordNotAccepted(ClientRequest request, RequestOutcome outcome) {
        counters.recordOutcome(request.command.parameters.className(), outcome);
    }

    /** When the dispatcher was created, on the clock of {@link ProxyClock#now}. */
    double startedMs() {
        return startedMs;
    }

    /** Milliseconds from {@link #startedMs} to the first successful request; negative if there was none yet. */
    long firstServedMs() {
        return firstServedMs;
    }

    /** The number of accepted requests that are completed, including those whose clients disconnected. */
    long completed() {
        return completed;
    }
}
