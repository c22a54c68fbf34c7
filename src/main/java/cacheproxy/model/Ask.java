package cacheproxy.model;

import cacheproxy.routing.Request;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.List;

/** A request that an instance has accepted, with the state the model keeps for it. */
final class Ask {
    /** The final outcome of a client's request. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** Receives the final response. */
    interface Client {
        /** The final response leaves the instance; {@code retryAfterMs}: advised retry delay, 0 for none. */
        void answered(Ask ask, Answer answer, double retryAfterMs);
    }

    final Request request;
    final ServiceClass kind;
    final double workMs;
    final Client client;
    /** Whether this is a client's retry, marked as such or not. */
    final boolean again;

    final List<Attempt> attempts = new ArrayList<>(3);
    int out;
    /** When an attempt was last in flight for it. */
    double idleSinceMs;

    boolean over;
    /** Its final outcome; null until there is one. */
    Answer answer;
    /** How often it was executed at the origin; {@link #ranMs} is the time of the first. */
    int ran;

    double ranMs;

    Ask(Request request, ServiceClass kind, double workMs, boolean again, Client client) {
        this.request = request;
        this.kind = kind;
        this.workMs = workMs;
        this.client = client;
        this.again = again;
    }
}
