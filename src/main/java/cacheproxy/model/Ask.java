package cacheproxy.model;

import cacheproxy.routing.Request;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.List;

/** A request that an instance has taken. */
final class Ask {
    /** How a client's try ends. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** Who wants the answer. */
    interface Client {
        /** The final answer, as it leaves the instance; {@code retryAfterMs}: 0 for no advice. */
        void answered(Ask ask, Answer answer, double retryAfterMs);
    }

    final Request request;
    final ServiceClass kind;
    final double workMs;
    final Client client;
    /** Whether its client has asked before, marked or not. */
    final boolean again;

    final List<Attempt> attempts = new ArrayList<>(3);
    int out;
    /** When something was last out for it. */
    double idleSinceMs;

    boolean over;
    /** Its final answer; null while there is none. */
    Answer answer;
    /** How often it has truly run at the origin, and when first. */
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
