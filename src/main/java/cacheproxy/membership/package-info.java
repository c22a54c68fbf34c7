/**
 * The membership of the fleet: which instances are live, have left or are unreachable. SWIM (Das, Gupta and Motivala,
 * 2002) with the refinements of Lifeguard (Dadgar, Phillips and Currey, 2018): direct probes and probes through
 * helpers, suspicions that others confirm, refutation by incarnation, and a local health that slows an unhealthy
 * instance down. What an instance knows of another is a {@link cacheproxy.membership.Member}; entries are merged in a
 * fixed order, so that all instances converge regardless of message loss, and digests show which instances differ.
 *
 * <p>Pure decision logic without sockets, threads or clocks: {@link cacheproxy.membership.Membership} takes times and
 * messages, and returns messages to send. {@link cacheproxy.membership.MembershipView} describes what a view may be
 * used for.
 */
package cacheproxy.membership;
