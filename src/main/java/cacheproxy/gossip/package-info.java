/**
 * What the proxies of a tier pass on to each other of the endpoint list and of outliers, the codec of their datagrams
 * and the budget for sending them. Pure decisions: no sockets, threads or clocks; the I/O is in
 * {@code cacheproxy.proxy.peer}. Messages may be late, lost, repeated or wrong: by themselves they eject no endpoint,
 * and what they change of the list is provisional.
 */
package cacheproxy.gossip;
