package cacheproxy.routing;

/**
 * One endpoint of the list with its ranking data and health. Pending requests may refer to it after it has been removed
 * from the list.
 */
final class EndpointEntry {
    private final int id;
    private final int hash;
    private final EndpointHealth health = new EndpointHealth();
    private Endpoint endpoint;
    private float loadFactor;
    private double share;

    EndpointEntry(Endpoint endpoint) {
        id = endpoint.id();
        hash = CarpHash.endpointHash(id);
        this.endpoint = endpoint;
    }

    /** Replaces the list's data on the endpoint; a new start time resets its health. */
    void update(Endpoint next) {
        if (endpoint.startTimeMs() != next.startTimeMs()) {
            health.onRestart();
        }
        endpoint = next;
    }

    /**
     * Sets the ranking data.
     *
     * @param newLoadFactor the load factor multiplier (CARP draft, section 3.3)
     * @param newShare the fraction of the total weight, 0 to 1
     */
    void rank(float newLoadFactor, double newShare) {
        loadFactor = newLoadFactor;
        share = newShare;
    }

    /** The score for a key (CARP draft, section 3.4). */
    double score(int keyHash) {
        return CarpHash.score(keyHash, hash, loadFactor);
    }

    int id() {
        return id;
    }

    int hash() {
        return hash;
    }

    int zone() {
        return endpoint.zone();
    }

    double share() {
        return share;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    EndpointHealth health() {
        return health;
    }
}
