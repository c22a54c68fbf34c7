package cacheproxy.proxy.lifecycle;

import cacheproxy.membership.MembershipView;

/**
 * The membership view with its counters.
 *
 * @param view the members of the fleet as this instance sees them
 * @param unreadableMessages messages that could not be parsed
 * @param refutedDeaths how often this instance refuted a claim that it was dead
 * @param droppedDatagrams datagrams that exceeded the send budget
 */
public record FleetViewStatus(
        MembershipView view, long unreadableMessages, long refutedDeaths, long droppedDatagrams) {}
