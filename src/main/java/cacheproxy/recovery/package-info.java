/**
 * Recovery after a restart: how one instance goes from its start to full service while others of the fleet do the same,
 * and how those that serve make room for them. Decisions without I/O; times are arguments, in milliseconds.
 */
package cacheproxy.recovery;
