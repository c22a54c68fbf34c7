package cacheproxy.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;

/**
 * Coalesces fetches of one object from the origin: the first request for a key leads, those that come while it fetches
 * wait and find the object at the endpoint that lacked it. Keys are those of requests; 0, no key, has no fetch here.
 */
final class FetchCoalescer {
    /** A fetch in flight and who waits for it, in the order of their arrival. */
    private record Fetch(PendingRequest leader, Queue<PendingRequest> waiters) {}

    private final Map<Long, Fetch> fetches = new HashMap<>();

    /** Has a request wait for the fetch of its object, if it isn't the leader itself. Whether there is such a fetch. */
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

    /** This request fetches its object. There must be no other fetch of it. */
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

    /** The fetch of this leader is over; who has joined it. Some may have been answered meanwhile. */
    Queue<PendingRequest> complete(PendingRequest leader) {
        return fetches.remove(leader.request().key()).waiters();
    }
}
