package cacheproxy.proxy;

import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.route.Known;
import cacheproxy.route.Pool;
import cacheproxy.routing.CarpHash;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What an instance's own configuration tells of the installation, for tools that look at it without a proxy. */
public final class Installation {
    private final Config config;
    private final List<DiscoveredEndpoint> hosts;

    private Installation(Config config) {
        this.config = config;
        hosts = config.known() == null ? List.of() : config.endpointListCodec().decodeAll(config.known());
    }

    /** Reads the file that a proxy is configured by; an IllegalArgumentException says what is wrong with it. */
    public static Installation read(String path) {
        return new Installation(Config.read(path));
    }

    /** What routes may name here. */
    public Known known() {
        return config.routableNames();
    }

    /** The servers of the list as it was last had. */
    public List<Pool.Server> servers() {
        return hosts.stream().map(DiscoveredEndpoint::poolMember).toList();
    }

    /** A pool's servers for a key, the one that takes it first; those that drain and the origin are left out. */
    public List<String> ranks(Pool pool, String key) {
        List<DiscoveredEndpoint> own = new ArrayList<>();
        for (DiscoveredEndpoint h : hosts) {
            Endpoint m = h.endpoint();
            boolean origin = config.settings().cacheAside()
                    && m.kind() == config.settings().originKind();
            if (m.state() == EndpointState.READY && !origin && pool.selects(h.poolMember())) {
                own.add(h);
            }
        }
        own.sort(Comparator.comparing(h -> h.endpoint().id(), Integer::compareUnsigned));
        float[] weights = new float[own.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] =
                    pool.weight(own.get(i).poolMember(), own.get(i).endpoint().weight());
        }
        float[] multipliers = CarpHash.multipliers(weights);
        int hash = CarpHash.keyHash(key(key));
        double[] scores = new double[weights.length];
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            scores[i] = CarpHash.score(
                    hash, CarpHash.endpointHash(own.get(i).endpoint().id()), multipliers[i]);
            order.add(i);
        }
        order.sort(Comparator.comparingDouble(i -> -scores[i]));
        return order.stream().map(i -> own.get(i).poolMember().host()).toList();
    }

    /** The module's key: what the text's hexadecimal digits say, else a hash of it that is alike everywhere. */
    static long key(String text) {
        long hash = 0xcbf29ce484222325L;
        long value = 0;
        boolean hex = text.length() <= 16;
        for (int i = 0; i < text.length(); i++) {
            int digit = Character.digit(text.charAt(i), 16);
            hex &= digit >= 0;
            value = value << 4 | (digit & 15);
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hex && value != 0 ? value : hash;
    }
}
