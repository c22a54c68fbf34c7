/**
 * What the proxies of a fleet pass on to each other about the endpoint list and about outliers, the codec of their
 * datagrams, and the budget for sending them. Pure decision logic without sockets, threads or clocks; the I/O is in
 * {@code cacheproxy.proxy.peer}. Messages may be late, lost, duplicated or wrong: by themselves they eject no endpoint,
 * and the changes they make to the list are provisional.
 */
package cacheproxy.gossip;
