package cacheproxy.proxy.upstream;

/**
 * Watches whether the response that a connection is receiving makes progress. A server pauses for 0.1 s at most within
 * a response. Event loop only.
 */
final class ResponseWatchdog {
    /** A streamed response without progress for so long will not continue. */
    static final double STREAM_STALL_MS = 3000;
    /** A short response without progress for so long, three times the longest pause, has been cut off. */
    private static final double SHORT_STALL_MS = 300;

    private final UpstreamContext context;
    private final Runnable closeConnection;
    private boolean streaming;
    private boolean shortResponseBegun;
    private boolean checkScheduled;
    private boolean paused;
    private boolean stopped;
    private double lastProgressMs;

    /** {@code closeConnection}: called for a short response that has been cut off. */
    ResponseWatchdog(UpstreamContext context, Runnable closeConnection) {
        this.context = context;
        this.closeConnection = closeConnection;
    }

    /**
     * A part of a short response has arrived. One that is cut off on a connection that stays open would be waited for
     * until the deadline of its request.
     */
    void shortResponseProgressed() {
        shortResponseBegun = true;
        noteProgress();
        if (!checkScheduled) {
            checkScheduled = true;
            scheduleCheck(SHORT_STALL_MS);
        }
    }

    private void scheduleCheck(double afterMs) {
        context.after(afterMs, () -> {
            double remainingMs = SHORT_STALL_MS - (context.now() - lastProgressMs);
            checkScheduled = shortResponseBegun && !stopped && remainingMs > 0;
            if (checkScheduled) {
                scheduleCheck(remainingMs);
            } else if (shortResponseBegun && !stopped) {
                closeConnection.run();
            }
        });
    }

    /** A streamed response begins. Its first line may have arrived in parts; from here on the client may be slow. */
    void streamBegan() {
        streaming = true;
        shortResponseBegun = false;
        noteProgress();
    }

    /** A part of a streamed response has arrived. */
    void streamProgressed() {
        noteProgress();
    }

    /** The response has arrived completely. */
    void responseCompleted() {
        streaming = false;
        shortResponseBegun = false;
    }

    /** Reading is paused for a slow client, or resumed; false if it was so before. */
    boolean setPaused(boolean nowPaused) {
        if (paused == nowPaused) {
            return false;
        }
        paused = nowPaused;
        noteProgress();
        return true;
    }

    /** The connection has ended: nothing is watched any more. */
    void stop() {
        stopped = true;
    }

    /** Whether a streamed response is being received. */
    boolean isStreaming() {
        return streaming;
    }

    /** Whether a streamed response has stopped in its middle, and not because its client is slow. */
    boolean isStreamStalled(double nowMs) {
        return streaming && !paused && nowMs - lastProgressMs > STREAM_STALL_MS;
    }

    private void noteProgress() {
        lastProgressMs = context.now();
    }
}
