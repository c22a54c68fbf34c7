/**
 * What the proxies of a tier tell each other and what each makes of it: decisions without sockets, threads or clocks.
 * Messages are late, lost, repeated or wrong; by themselves they shun no server, and what they change of the list is
 * provisional.
 */
package cacheproxy.gossip;
