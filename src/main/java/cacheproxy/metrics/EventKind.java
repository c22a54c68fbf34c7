package cacheproxy.metrics;

import java.util.Locale;

/** The kinds of events that are logged. Their names are stable: operators search for them. */
public enum EventKind {
    /** A client was ended as it stopped in the middle of a request, or sent none. */
    CLIENT_TIMED_OUT,
    /** A connection of a client could not be accepted. */
    ACCEPT_FAILED,
    /** A client sent what can't be read; its connection ends. */
    CLIENT_UNREADABLE,
    /** A request was turned away as none that can be carried out. */
    REQUEST_REJECTED,
    /** A request had no answer from the decision module at its time, or a drain's end answered it. */
    REQUEST_CUT,
    /** An attempt was ordered and must not begin. */
    ATTEMPT_FORBIDDEN,
    /** A rule was seen to be broken. */
    BREACH,
    /** A server's answer can't be read; its connection ends. */
    SERVER_UNREADABLE,
    /** The list of servers has changed: to which version, by whose word, and what of it. */
    LIST_CHANGED,
    /** A call for the list has failed: its form and why. */
    LIST_CALL_FAILED,
    /** Something of an answer of discovery's can't be used and was left out. */
    LIST_ENTRY_UNUSABLE,
    /** The event loop was held up for longer than deadlines allow for. */
    HELD_UP,
    /** A mistake of the program. */
    FAULT,
    /** Anything else. */
    NOTE;

    /** Its name in the log. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
