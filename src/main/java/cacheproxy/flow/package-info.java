/**
 * Flow control on client connections: limits on buffered bytes and on the time that a client may take to send a
 * command. No sockets, threads or clocks.
 */
package cacheproxy.flow;
