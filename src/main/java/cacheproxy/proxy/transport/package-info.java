/** What the sides of the proxy share of sockets: how connections are made and accepted while system calls fail. */
package cacheproxy.proxy.transport;
