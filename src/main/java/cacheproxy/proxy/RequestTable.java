package cacheproxy.proxy;

import cacheproxy.flow.RecentRequestIds;
import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The accepted requests: open ones by the ids that clients gave them, open ones and those with attempts in flight by
 * number, and the ids of those that ended recently. Event loop only.
 */
final class RequestTable {
    private final IntObjectHashMap<ClientRequest> byNumber = new IntObjectHashMap<>();
    private final Map<String, ClientRequest> openByClientId = new HashMap<>();
    private final RecentRequestIds recentlyUsed = new RecentRequestIds();
    private final List<Consumer<ClientRequest>> acceptedListeners = new ArrayList<>();
    private int lastNumber;

    /**
     * Whether a client's id belongs to a request that is open, ended recently, or is another process's. A second
     * request of the same id must not be accepted: a server would take it for the first one, and if the first one ended
     * while the second was on its way, the id would get two responses.
     */
    boolean isIdInUse(double nowMs, String clientId) {
        return openByClientId.containsKey(clientId) || recentlyUsed.contains(nowMs, clientId);
    }

    /** Adds a request, whose id must not be in use and whose deadline is set, and assigns its number. */
    void add(ClientRequest request) {
        openByClientId.put(request.command.id, request);
        request.id = ++lastNumber;
        byNumber.put(request.id, request);
        for (Consumer<ClientRequest> listener : acceptedListeners) {
            listener.accept(request);
        }
    }

    /** Who is told of each request that is added. */
    List<Consumer<ClientRequest>> acceptedListeners() {
        return acceptedListeners;
    }

    /** The ids of requests that ended recently, or that another process of this instance has accepted. */
    RecentRequestIds recentlyUsed() {
        return recentlyUsed;
    }

    /** The request of this number; null if it is neither open nor has attempts in flight. */
    ClientRequest get(int number) {
        return byNumber.get(number);
    }

    /** The open request to which a client gave this id; null if there is none. */
    ClientRequest openRequest(String clientId) {
        return openByClientId.get(clientId);
    }

    /** The open requests, in no particular order; a copy. */
    List<ClientRequest> openRequests() {
        return List.copyOf(openByClientId.values());
    }

    /**
     * Removes a completed request from the open ones, and entirely once none of its attempts is in flight. Idempotent.
     *
     * @param idRetentionMs how long its id stays in use: as long as a server may still execute it
     */
    void remove(double nowMs, ClientRequest request, double idRetentionMs) {
        if (openByClientId.remove(request.command.id, request)) {
            recentlyUsed.add(nowMs, request.command.id, idRetentionMs);
        }
        if (request.attemptsInFlight == 0) {
            byNumber.remove(request.id);
        }
    }

    /** The longest timeout of the service classes of open requests, in milliseconds; 0 if none is open. */
    double longestDeadlineMs() {
        return openByClientId.values().stream()
                .mapToDouble(request -> request.serviceClass.timeoutMs())
                .max()
                .orElse(0);
    }

    /** The number of open requests. */
    int openCount() {
        return openByClientId.size();
    }

    /** The number of requests added since the start. */
    long acceptedCount() {
        return lastNumber;
    }
}
