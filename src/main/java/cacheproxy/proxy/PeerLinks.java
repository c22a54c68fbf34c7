package cacheproxy.proxy;

import cacheproxy.membership.LiveMembers;
import cacheproxy.proxy.peer.EndpointGossipLink;
import cacheproxy.proxy.peer.MembershipLink;
import cacheproxy.proxy.peer.OutlierGossipLink;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.proxy.peer.StateQueryLink;
import cacheproxy.routing.EndpointSignal;

/**
 * Passes events to the links to other proxies: messages from peers, by kind, and local events that the links gossip. A
 * link that is not set, because its feature is off or not started yet, gets no events. Event loop only.
 */
public final class PeerLinks {
    private final SerialLoadBalancer loadBalancer;
    private EndpointGossipLink endpointListGossip;
    private MembershipLink membership;
    private OutlierGossipLink outlierGossip;
    private ZoneFailoverCoordinator zoneFailover;
    private StateQueryLink stateQueries;

    PeerLinks(SerialLoadBalancer loadBalancer) {
        this.loadBalancer = loadBalancer;
    }

    /** Sets the link that gossips the version of the endpoint list. */
    public void setEndpointListGossip(EndpointGossipLink link) {
        endpointListGossip = link;
    }

    /** Sets the links for membership of the fleet and for gossip about outliers. */
    public void setMembership(MembershipLink link, OutlierGossipLink outliers) {
        membership = link;
        outlierGossip = outliers;
    }

    /** Sets the link that queries peers for their state and answers such queries. */
    public void setStateQueries(StateQueryLink link) {
        stateQueries = link;
    }

    /** Sets the link that fails over zones together with the fleet. */
    public void setZoneFailover(ZoneFailoverCoordinator link) {
        zoneFailover = link;
    }

    /** A message from a peer has arrived. */
    public void messageReceived(int peer, PeerMessageKind kind, byte[] message) {
        switch (kind) {
            case ENDPOINT_LIST -> {
                if (endpointListGossip != null) {
                    endpointListGossip.onMessage(peer, message);
                }
            }
            case LOAD_BALANCER -> loadBalancer.peerMessageReceived(peer, message);
            case MEMBERSHIP -> {
                if (membership != null) {
                    membership.messageReceived(peer, message);
                }
            }
            case OUTLIERS -> {
                if (outlierGossip != null) {
                    outlierGossip.onMessage(peer, message);
                }
            }
            case STATE_QUERY -> {
                if (stateQueries != null) {
                    stateQueries.messageReceived(peer, message);
                }
            }
        }
    }

    /** The set of live members has changed. */
    public void liveMembersChanged(LiveMembers liveMembers) {
        if (endpointListGossip != null) {
            endpointListGossip.setLiveMembers(liveMembers);
        }
    }

    /** A poll of the endpoint list has failed. */
    void endpointListPollFailed() {
        if (endpointListGossip != null) {
            endpointListGossip.onPollFailed();
        }
    }

    /** This version of the endpoint list was applied. */
    void endpointListApplied(long version) {
        if (endpointListGossip != null) {
            endpointListGossip.onVersionApplied(version);
        }
    }

    /** The load balancer has received a signal of a server's health. */
    void endpointSignaled(int server, EndpointSignal signal) {
        if (outlierGossip != null) {
            outlierGossip.onEndpointSignal(server, signal);
        }
        if (zoneFailover != null) {
            zoneFailover.onEndpointSignal(server, signal);
        }
    }
}
