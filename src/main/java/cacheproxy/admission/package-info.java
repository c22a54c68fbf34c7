/**
 * The safety rules: what may happen to a request now. Whether an attempt may begin, and whether the request may be
 * rejected. Decisions over explicit states, without sockets, threads or clocks; whoever acts asks at the moment of the
 * act. Violations that are seen afterwards are counted by kind.
 */
package cacheproxy.admission;
