/**
 * How fresh the list of servers is: which calls are made for it, and when. Decisions without I/O: events with their
 * times in, orders out.
 */
package cacheproxy.endpoints;
