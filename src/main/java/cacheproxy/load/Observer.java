package cacheproxy.load;

import cacheproxy.emulator.meta.MetaAnswer;

/** What watches each request of a run. Called on the generator's event loop; times are {@link System#nanoTime()}. */
public interface Observer {
    /** Watches nothing. */
    Observer NONE = new Observer() {};

    /** A request is written to a connection; once more for each time that it goes out again. */
    default void asked(String id, Planned planned, long atNanos, long deadlineNanos) {}

    /** Its answer has come whole; {@code port}: the client's, of the connection that it came on. */
    default void answered(String id, MetaAnswer answer, int port, long atNanos) {}

    /**
     * Its time is up without one.
     *
     * @param port the client's, of the connection that it went onto last; 0 if it went onto none
     * @param endedNanos when that connection ended, 0 if it stands or never was
     */
    default void unanswered(String id, int port, long endedNanos, long atNanos) {}

    /** An answer has come after its request's time was up. */
    default void late(String id, MetaAnswer answer, int port, long atNanos) {}

    /** An answer has come that nobody waits for, or another than was due. */
    default void unsolicited(MetaAnswer answer, long atNanos) {}
}
