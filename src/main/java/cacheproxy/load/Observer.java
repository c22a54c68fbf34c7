package cacheproxy.load;

import cacheproxy.emulator.meta.MetaAnswer;

/** Callbacks for each request of a run, on the generator's event loop; times are {@link System#nanoTime()}. */
public interface Observer {
    /** An observer that does nothing. */
    Observer NONE = new Observer() {};

    /** A request is written to a connection; called again each time it is resent. */
    default void asked(String id, Planned planned, long atNanos, long deadlineNanos) {}

    /** The response has arrived completely; {@code port}: the local port of its connection. */
    default void answered(String id, MetaAnswer answer, int port, long atNanos) {}

    /**
     * The deadline has passed without a response.
     *
     * @param port local port of the connection on which it was last sent; 0 if there was none
     * @param endedNanos when that connection closed; 0 if it is open or there was none
     */
    default void unanswered(String id, int port, long endedNanos, long atNanos) {}

    /** A response has arrived after its request's deadline. */
    default void late(String id, MetaAnswer answer, int port, long atNanos) {}

    /** A response has arrived that matches no pending request, or not the one at the head of the connection. */
    default void unsolicited(MetaAnswer answer, long atNanos) {}
}
