/** Socket helpers that the client and server sides share: connecting and accepting while system calls fail. */
package cacheproxy.proxy.transport;
