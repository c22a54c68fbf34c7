/**
 * The fleet's membership: which instances are live, have left or can't be reached. SWIM (Das, Gupta and Motivala, 2002)
 * with the refinements of Lifeguard (Dadgar, Phillips and Currey, 2018): probes direct and by helpers, suspicion that
 * others confirm, refutation by incarnation, and a local health that slows an unhealthy instance down. What an instance
 * knows of another is a {@link cacheproxy.membership.Member}; entries are merged in a fixed order, so that all
 * instances converge whatever was lost on the way, and digests show who differs.
 *
 * <p>Decisions without sockets, threads or clocks: {@link cacheproxy.membership.Membership} takes times and messages
 * and gives messages to send. What a view may be used for stands at {@link cacheproxy.membership.MembershipView}.
 */
package cacheproxy.membership;
