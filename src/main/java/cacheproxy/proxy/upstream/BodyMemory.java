package cacheproxy.proxy.upstream;

import cacheproxy.flow.ByteBudget;

/**
 * The direct memory of one short response while it arrives: that which its request holds, or, if another attempt's
 * response is in that, a reservation of its own. Event loop only.
 */
final class BodyMemory {
    private final UpstreamConnection connection;
    /** The attempt whose request's memory it takes; null if it takes none. */
    private UpstreamAttempt claimant;

    private ByteBudget.Reservation reservation;

    BodyMemory(UpstreamConnection connection) {
        this.connection = connection;
    }

    /**
     * Reserves memory for the current attempt's response and pauses reading while there is none; false if there never
     * will be.
     */
    boolean reserve(int bytes) {
        UpstreamAttempt attempt = connection.currentAttempt();
        if (attempt.claimMemory()) {
            claimant = attempt;
            return true;
        }
        reservation = connection.context().valueBudget().reserve(bytes, this::granted);
        if (reservation != null && !reservation.granted()) {
            connection.setPaused(true);
        }
        return reservation != null;
    }

    private void granted() {
        connection.context().loop().execute(() -> connection.setPaused(false));
    }

    /** Returns the memory, as the response has been passed on or released; no effect if there is none. */
    void release() {
        if (claimant != null) {
            claimant.returnMemory();
            claimant = null;
        }
        if (reservation != null) {
            reservation.release();
            reservation = null;
        }
    }
}
