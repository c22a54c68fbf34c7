package cacheproxy.proxy.upstream;

/**
 * Checks that the response which a connection is receiving makes progress. A server pauses for at most 0.1 s within a
 * response. Event loop only.
 */
final class ResponseWatchdog {
    /** A streamed response without progress for this time, in milliseconds, will not continue. */
    static final double STREAM_STALL_MS = 3000;
    /**
     * A short response without progress for this time, in milliseconds, has been cut off; three times the longest
     * pause.
     */
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
     * Called when part of a short response has arrived. Without the check, a response that is cut off on a connection
     * that stays open would be waited for until the deadline of its request.
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
            double remainingMs = paused ? SHORT_STALL_MS : SHORT_STALL_MS - (context.now() - lastProgressMs);
            checkScheduled = shortResponseBegun && !stopped && remainingMs > 0;
            if (checkScheduled) {
                scheduleCheck(remainingMs);
            } else if (shortResponseBegun && !stopped) {
                closeConnection.run();
            }
        });
    }

    /**
     * Called when a streamed response begins. Its first line may have arrived in parts; from now on, a slow client may
     * delay it.
     */
    void streamBegan() {
        streaming = true;
        shortResponseBegun = false;
        noteProgress();
    }

    /** Called when part of a streamed response has arrived. */
    void streamProgressed() {
        noteProgress();
    }

    /** Called when the response has arrived completely. */
    void responseCompleted() {
        streaming = false;
        shortResponseBegun = false;
    }

    /** Records that reading is paused for a slow client, or resumed; false if nothing changes. */
    boolean setPaused(boolean nowPaused) {
        if (paused == nowPaused) {
            return false;
        }
        paused = nowPaused;
        noteProgress();
        return true;
    }

    /** Ends the checks, as the connection has ended. */
    void stop() {
        stopped = true;
    }

    /** Whether a streamed response is being received. */
    boolean isStreaming() {
        return streaming;
    }

    /** Whether a streamed response has stalled, and not because its client is slow. */
    boolean isStreamStalled(double nowMs) {
        return streaming && !paused && nowMs - lastProgressMs > STREAM_STALL_MS;
    }

    /** Whether an attempt, which may be null, ended long ago and its response has still not arrived. */
    static boolean isBlockedBy(UpstreamAttempt current, double nowMs) {
        return current != null && current.hasEnded() && nowMs - current.expiresMs() > STREAM_STALL_MS;
    }

    private void noteProgress() {
        lastProgressMs = context.now();
    }
}
