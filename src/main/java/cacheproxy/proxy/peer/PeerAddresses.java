package cacheproxy.proxy.peer;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The addresses at which the proxies of a tier receive datagrams from each other.
 *
 * @param listen the address of this proxy; null if it does not participate
 * @param peers the addresses by proxy number, this one's included
 * @param all an address that reaches every other proxy; null if there is none
 * @param self the number of this proxy in {@code peers}
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress all, int self) {
    /** Copies the list of peers. */
    public PeerAddresses {
        peers = List.copyOf(peers);
    }
}
