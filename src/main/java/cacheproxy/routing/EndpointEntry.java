package cacheproxy.routing;

/** One endpoint of the list with its part in the ranking and its health. Lives on in requests after it is removed. */
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

    /** What the list says of it now. */
    void update(Endpoint next) {
        if (endpoint.startTimeMs() != next.startTimeMs()) {
            health.onRestart();
        }
        endpoint = next;
    }

    /**
     * Its part in the ranking.
     *
     * @param newLoadFactor its load factor multiplier (CARP draft, section 3.3)
     * @param newShare its part of all weights, 0 to 1
     */
    void rank(float newLoadFactor, double newShare) {
        loadFactor = newLoadFactor;
        share = newShare;
    }

    /** Its score for a key (CARP draft, section 3.4). */
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
