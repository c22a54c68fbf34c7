package cacheproxy.proxy.peer;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where the proxies of a tier receive one another's datagrams.
 *
 * @param listen where this proxy does; null if it takes no part
 * @param peers by the proxies' numbers, this one's included
 * @param all what is sent there reaches every other proxy; null if there is no such address
 * @param self the number of this proxy in {@code peers}
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress all, int self) {
    /** Copies the list. */
    public PeerAddresses {
        peers = List.copyOf(peers);
    }
}
