/**
 * A tier of proxies before one fleet in virtual time: the real decision modules ({@code CarpLoadBalancer},
 * {@code ListVersionGossip}), and models of what they share: nodes with few places, one slow origin, discovery,
 * messages between proxies, links that are cut off, lose answers or reset, and clients that come again. No sockets,
 * threads or clocks: the same seed gives the same run. The rules are checked over all instances for each request.
 * Models of a server that the stand-in fleet runs on sockets are used here as they are.
 */
package cacheproxy.model;
