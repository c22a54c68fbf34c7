package cacheproxy.proxy.peer;

/**
 * The kind of an item in a datagram between proxies, which determines the subsystem that parses its body. The kinds on
 * the wire ({@code docs/design/members-wire.md}):
 *
 * <pre>
 * code  on the page           here
 * 1     list                  ENDPOINT_LIST
 * 2     module                LOAD_BALANCER
 * 3     members               MEMBERSHIP
 * 4     nodes                 OUTLIERS
 * 5     what is remembered    STATE_QUERY
 * </pre>
 */
public enum PeerMessageKind {
    /** The version of the endpoint list, its changes, or a query for them: {@code EndpointGossipLink}. */
    ENDPOINT_LIST(1),
    /** A message of the load balancer to its peers: {@code LoadBalancer.onPeerMessage}. */
    LOAD_BALANCER(2),
    /** A message of the membership protocol: {@code MembershipLink}. */
    MEMBERSHIP(3),
    /** Cache nodes that did not respond: {@code OutlierGossipLink}. */
    OUTLIERS(4),
    /** The state query of an instance that restarts, and its peers' answers: {@link StateQueryLink}. */
    STATE_QUERY(5);

    /** The version of the body's format, the same for all kinds so far. */
    public static final int VERSION = 0;

    private final int code;

    PeerMessageKind(int code) {
        this.code = code;
    }

    /** The code on the wire. */
    public int code() {
        return code;
    }

    /** The kind with this code; null if it is unknown, as one of a later release may be. */
    static PeerMessageKind of(int code) {
        for (PeerMessageKind kind : values()) {
            if (kind.code == code) {
                return kind;
            }
        }
        return null;
    }
}
