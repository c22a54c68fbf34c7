/**
 * A view of the fleet that its instances keep among themselves: who lives, who has left, who is cut off. SWIM (Das,
 * Gupta and Motivala, 2002) with the refinements of Lifeguard (Dadgar, Phillips and Currey, 2018): probes direct and by
 * helpers, suspicion that others confirm, refutation by incarnation, and a local health that slows a slow instance
 * down. What each knows of each is an {@link cacheproxy.membership.Member}; two that meet join theirs in a fixed order,
 * so that all come to hold the same whatever was lost on the way, and digests tell who differs.
 *
 * <p>Decisions without sockets, threads or clocks: {@link cacheproxy.membership.Membership} takes times and messages
 * and gives messages to send. What a view may be used for stands at {@link cacheproxy.membership.MembershipView}.
 */
package cacheproxy.membership;
