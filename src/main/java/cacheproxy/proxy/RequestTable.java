package cacheproxy.proxy;

import cacheproxy.flow.RecentIds;
import io.netty.util.collection.IntObjectHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The accepted requests: open ones by their clients' ids, those with an attempt in flight by number, and the ids of
 * those that ended recently. Event loop only.
 */
final class RequestTable {
    private final IntObjectHashMap<ClientRequest> byNumber = new IntObjectHashMap<>();
    private final Map<String, ClientRequest> openByClientId = new HashMap<>();
    private final RecentIds recentlyEnded = new RecentIds();
    private int lastNumber;

    /**
     * Whether a client's id belongs to a request that is open or ended recently. A server would take a second request
     * of the id for the first, and one that ended while the second was on its way would get two responses.
     */
    boolean isIdInUse(double nowMs, String clientId) {
        return openByClientId.containsKey(clientId) || recentlyEnded.contains(nowMs, clientId);
    }

    /** Adds a request, whose id is not in use, and gives it its number. */
    void add(ClientRequest request) {
        openByClientId.put(request.command.id, request);
        request.id = ++lastNumber;
        byNumber.put(request.id, request);
    }

    /** The request of this number that is open or has attempts in flight; else null. */
    ClientRequest get(int number) {
        return byNumber.get(number);
    }

    /** The open requests, in no particular order; a copy. */
    List<ClientRequest> openRequests() {
        return List.copyOf(openByClientId.values());
    }

    /**
     * Removes a completed request from the open ones, and altogether once no attempt of it is in flight. Idempotent.
     *
     * @param idRetentionMs for how long its id stays in use: so long may a server still execute it
     */
    void remove(double nowMs, ClientRequest request, double idRetentionMs) {
        if (openByClientId.remove(request.command.id, request)) {
            recentlyEnded.add(nowMs, request.command.id, idRetentionMs);
        }
        if (request.attemptsInFlight == 0) {
            byNumber.remove(request.id);
        }
    }

    /** The longest deadline of the classes of open requests, in milliseconds; 0 if none is open. */
    double longestDeadlineMs() {
        return openByClientId.values().stream()
                .mapToDouble(request -> request.serviceClass.timeoutMs())
                .max()
                .orElse(0);
    }

    /** How many requests are open. */
    int openCount() {
        return openByClientId.size();
    }

    /** How many requests were added since the start. */
    long acceptedCount() {
        return lastNumber;
    }
}
