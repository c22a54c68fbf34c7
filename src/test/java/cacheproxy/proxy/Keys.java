package cacheproxy.proxy;

import cacheproxy.routing.CarpHash;

/** Finds keys for which the rank of equally weighted nodes is known. */
final class Keys {
    private Keys() {}

    /** A key for which these nodes rank in this order. */
    static String ranked(int... nodes) {
        for (int i = 1; ; i++) {
            String key = Integer.toHexString(i);
            int hash = CarpHash.keyHash(ConfiguredEndpoints.routingKey(key));
            boolean inOrder = true;
            for (int n = 1; n < nodes.length; n++) {
                inOrder &= CarpHash.score(hash, CarpHash.endpointHash(nodes[n - 1]), 1)
                        > CarpHash.score(hash, CarpHash.endpointHash(nodes[n]), 1);
            }
            if (inOrder) {
                return key;
            }
        }
    }
}
