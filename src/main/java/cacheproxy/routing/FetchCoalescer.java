package cacheproxy.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;

/**
 * Coalesces fetches of one object from the origin: the first request for a key leads the fetch; requests that arrive
 * during the fetch wait, and then read the object from the endpoint that missed it. Requests without a key (key 0) are
 * never coalesced.
 */
final class FetchCoalescer {
    /** A fetch in flight with the requests that wait for it, in order of arrival. */
    private record Fetch(PendingRequest leader, Queue<PendingRequest> waiters) {}

    private final Map<Long, Fetch> fetches = new HashMap<>();

    /**
     * Makes a request wait for the fetch of its object, unless it leads that fetch. Returns whether there is such a
     * fetch.
     */
    boolean join(PendingRequest request) {
        Fetch fetch = fetches.get(request.request().key());
        if (fetch == null) {
            return false;
        }
        if (fetch.leader() != request) {
            fetch.waiters().add(request);
            request.startWaiting();
        }
        return true;
    }

    /** Starts a fetch led by this request. There must be no other fetch of the object. */
    void start(PendingRequest request) {
        fetches.put(request.request().key(), new Fetch(request, new ArrayDeque<>()));
    }

    boolean isLeader(PendingRequest request) {
        Fetch fetch = fetches.get(request.request().key());
        return fetch != null && fetch.leader() == request;
    }

    boolean hasWaiters(PendingRequest leader) {
        return isLeader(leader)
                && !fetches.get(leader.request().key()).waiters().isEmpty();
    }

    /** Ends the fetch of this leader. Returns the requests that joined it, some of which may have been answered. */
    Queue<PendingRequest> complete(PendingRequest leader) {
        return fetches.remove(leader.request().key()).waiters();
    }
}
