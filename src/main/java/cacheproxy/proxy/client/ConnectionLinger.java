package cacheproxy.proxy.client;

import cacheproxy.proxy.transport.InputBarrier;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Delays the close of a client connection: that of its output until the client's machine has received it, and that of
 * its socket for some time more, in which the client may close the connection itself. Event loop only.
 */
final class ConnectionLinger {
    /** How long a client has to close the connection after it has received the end of the output, in milliseconds. */
    private static final long LINGER_MS = 300;
    /** The time between two checks for output that the client's machine has not received, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 20;

    private final ScheduledExecutorService loop;
    private final BooleanSupplier delivered;
    private final Runnable closeIfDue;
    private final Runnable close;
    private boolean checkScheduled;

    /**
     * Creates the delay of one connection.
     *
     * @param delivered whether the client's machine has received all output; true once the connection has ended
     * @param closeIfDue closes the output if that is due and all output so far has been received
     * @param close closes the connection; no effect once it has ended
     */
    ConnectionLinger(ScheduledExecutorService loop, BooleanSupplier delivered, Runnable closeIfDue, Runnable close) {
        this.loop = loop;
        this.delivered = delivered;
        this.closeIfDue = closeIfDue;
        this.close = close;
    }

    /** Delays the close of the output for a moment, as no event tells when the client's machine has received it. */
    void checkLater() {
        if (!checkScheduled) {
            checkScheduled = true;
            InputBarrier.afterDelayAndInput(loop, this::checkAgain, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkAgain() {
        checkScheduled = false;
        closeIfDue.run();
    }

    /**
     * Delays the close of the socket, as the output has been closed; {@code wasDelivered}: whether the client's machine
     * has received what came before the close.
     */
    void start(boolean wasDelivered) {
        InputBarrier.afterDelayAndInput(loop, () -> check(wasDelivered), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void check(boolean wasDelivered) {
        boolean isDelivered = delivered.getAsBoolean();
        if (wasDelivered && isDelivered) {
            close.run();
        } else {
            start(isDelivered);
        }
    }
}
