package cacheproxy.flow;

/**
 * Decides whether a client still takes its output. Any change counts as progress: of the bytes that wait in this
 * process, and of those that the client's machine has received. Pure: times are milliseconds of one monotonic clock.
 */
public final class DeliveryProgress {
    /** A client that takes nothing of its pending output for this time, in milliseconds, has stalled. */
    public static final double STALL_MS = 10_000;

    private double progressedMs;
    private long waitingBytes;
    private long deliveredBytes;

    /** {@code nowMs}: when the connection begins. */
    public DeliveryProgress(double nowMs) {
        progressedMs = nowMs;
    }

    /** Records that the connection was written to or that its client has sent something. */
    public void active(double nowMs) {
        progressedMs = nowMs;
    }

    /**
     * Records the state of the output.
     *
     * @param nowWaitingBytes bytes that the kernel has not been given
     * @param nowDeliveredBytes bytes that the client's machine has received since the connection was opened
     */
    public void observe(double nowMs, long nowWaitingBytes, long nowDeliveredBytes) {
        if (nowWaitingBytes != waitingBytes || nowDeliveredBytes != deliveredBytes) {
            waitingBytes = nowWaitingBytes;
            deliveredBytes = nowDeliveredBytes;
            progressedMs = nowMs;
        }
    }

    /** When the connection was last active or its output progressed. */
    public double progressedMs() {
        return progressedMs;
    }

    /** Whether output that is pending has made no progress for too long. */
    public boolean isStalled(double nowMs) {
        return nowMs - progressedMs > STALL_MS;
    }
}
