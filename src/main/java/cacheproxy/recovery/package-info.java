/**
 * Recovery after a restart: how one instance gets from its start to full service while other instances of the fleet do
 * the same, and how serving instances pass load on to them. Decisions without I/O; times are arguments, in
 * milliseconds.
 */
package cacheproxy.recovery;
