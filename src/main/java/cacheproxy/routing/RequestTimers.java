package cacheproxy.routing;

import java.util.HashMap;
import java.util.Map;

/** The scheduled timers by token: a sequence number, with the kind in the two lowest bits. */
final class RequestTimers {
    private static final int KIND_BITS = 2;
    private static final int KIND_MASK = (1 << KIND_BITS) - 1;

    /** The purpose of a timer. */
    enum Kind {
        /** The deadline of a request. */
        DEADLINE(0),
        /** The hedging delay of an attempt: if it is still in flight, a hedge may follow. */
        HEDGE(1),
        /** The delay before a retry. */
        RETRY(2),
        /** The delay before the next discovery call; belongs to no request. */
        LIST_POLL(3);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        private static Kind of(int token) {
            return switch (token & KIND_MASK) {
                case 0 -> DEADLINE;
                case 1 -> HEDGE;
                case 2 -> RETRY;
                default -> LIST_POLL;
            };
        }
    }

    /**
     * An expired timer.
     *
     * @param request the request it was set for; null if it was set for none, or has expired before
     */
    record Due(Kind kind, PendingRequest request) {}

    private final Map<Integer, PendingRequest> requests = new HashMap<>();
    private int nextNumber;

    /** Schedules a timer for a request. */
    void set(double delayMs, Kind kind, PendingRequest request, RoutingActions out) {
        int token = nextToken(kind);
        requests.put(token, request);
        out.setTimer(delayMs, token);
    }

    /** Schedules a timer that belongs to no request. */
    void set(double delayMs, Kind kind, RoutingActions out) {
        out.setTimer(delayMs, nextToken(kind));
    }

    private int nextToken(Kind kind) {
        return nextNumber++ << KIND_BITS | kind.code;
    }

    Due due(int token) {
        return new Due(Kind.of(token), requests.remove(token));
    }
}
