package cacheproxy.proxy;

import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.route.EndpointAttributes;
import cacheproxy.route.KnownNames;
import cacheproxy.route.Pool;
import cacheproxy.routing.CarpHash;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The endpoints and names in an instance's configuration, for tools that inspect it without starting a proxy. */
public final class ConfiguredEndpoints {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int MAX_HEX_DIGITS = 16;

    private final Config config;
    private final List<DiscoveredEndpoint> endpoints;

    private ConfiguredEndpoints(Config config) {
        this.config = config;
        endpoints = config.initialEndpointList() == null
                ? List.of()
                : config.endpointListCodec().decodeAll(config.initialEndpointList());
    }

    /**
     * Reads an instance's configuration file.
     *
     * @throws ConfigurationException if it can't be read or is invalid
     */
    public static ConfiguredEndpoints read(String path) {
        return new ConfiguredEndpoints(Config.read(path));
    }

    /** The names that routes may refer to. */
    public KnownNames routableNames() {
        return config.routableNames();
    }

    /** The attributes of the configured endpoints, by which pools select their members. */
    public List<EndpointAttributes> poolMembers() {
        return endpoints.stream().map(DiscoveredEndpoint::attributes).toList();
    }

    /**
     * The hosts of a pool's endpoints, ordered by descending CARP score for a key. Endpoints that are not ready and the
     * origin are left out.
     */
    public List<String> rank(Pool pool, String key) {
        List<DiscoveredEndpoint> candidates = candidates(pool);
        float[] weights = new float[candidates.size()];
        for (int i = 0; i < weights.length; i++) {
            DiscoveredEndpoint candidate = candidates.get(i);
            weights[i] =
                    pool.weight(candidate.attributes(), candidate.endpoint().weight());
        }
        float[] multipliers = CarpHash.multipliers(weights);
        int keyHash = CarpHash.keyHash(routingKey(key));
        double[] scores = new double[weights.length];
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            int endpointHash =
                    CarpHash.endpointHash(candidates.get(i).endpoint().id());
            scores[i] = CarpHash.score(keyHash, endpointHash, multipliers[i]);
            order.add(i);
        }
        order.sort(Comparator.comparingDouble(i -> -scores[i]));
        return order.stream().map(i -> candidates.get(i).attributes().host()).toList();
    }

    /** The pool's ready endpoints except the origin, ordered by id. */
    private List<DiscoveredEndpoint> candidates(Pool pool) {
        List<DiscoveredEndpoint> candidates = new ArrayList<>();
        for (DiscoveredEndpoint candidate : endpoints) {
            Endpoint endpoint = candidate.endpoint();
            boolean origin = config.settings().cacheAside()
                    && endpoint.kind() == config.settings().originKind();
            if (endpoint.state() == EndpointState.READY && !origin && pool.selects(candidate.attributes())) {
                candidates.add(candidate);
            }
        }
        candidates.sort(Comparator.comparing(c -> c.endpoint().id(), Integer::compareUnsigned));
        return candidates;
    }

    /**
     * The 64-bit key by which requests are routed: the value of a text of up to 16 hexadecimal digits, unless that is
     * 0; else the FNV-1a hash of the text. It is the same on every instance.
     */
    static long routingKey(String text) {
        long hash = FNV_OFFSET_BASIS;
        long value = 0;
        boolean hexadecimal = text.length() <= MAX_HEX_DIGITS;
        for (int i = 0; i < text.length(); i++) {
            int digit = Character.digit(text.charAt(i), 16);
            hexadecimal &= digit >= 0;
            value = value << 4 | (digit & 15);
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hexadecimal && value != 0 ? value : hash;
    }
}
