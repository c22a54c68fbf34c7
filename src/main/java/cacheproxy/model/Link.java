package cacheproxy.model;

import cacheproxy.routing.AttemptOutcome;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One connection of an instance to a node. Responses are delivered in the order of the requests; a lost response blocks
 * all later ones (head-of-line blocking), as on a link that drops packets.
 */
final class Link {
    private record Answer(Attempt attempt, AttemptOutcome outcome) {}

    private final InstanceModel owner;
    private final NodeModel node;
    private final VirtualTime time;
    private final Network network;
    private final ArrayDeque<Attempt> out = new ArrayDeque<>();
    private final ArrayDeque<Answer> undelivered = new ArrayDeque<>();
    private double readyMs;
    private double usedMs;
    private boolean responseLost;
    private boolean retired;
    private boolean closed;

    Link(InstanceModel owner, NodeModel node, VirtualTime time, Network network) {
        this.owner = owner;
        this.node = node;
        this.time = time;
        this.network = network;
        usedMs = time.now();
        readyMs = time.now() + 2 * network.delayMs(owner.zone(), node.zone);
    }

    NodeModel node() {
        return node;
    }

    InstanceModel owner() {
        return owner;
    }

    boolean usable() {
        return !closed && !retired && out.size() < FleetDraw.STREAMS;
    }

    boolean idleSince(double ms) {
        return out.isEmpty() && usedMs < ms;
    }

    boolean stalledSince(double ms) {
        return !out.isEmpty() && out.peek().ended && out.peek().sentMs < ms;
    }

    void send(Attempt attempt) {
        attempt.link = this;
        usedMs = time.now();
        out.add(attempt);
        double at = Math.max(time.now(), readyMs) + network.delayMs(owner.zone(), node.zone);
        time.at(at, () -> {
            if (!closed && network.passes(owner.zone(), node.zone)) {
                node.arrive(this, attempt);
            }
        });
    }

    /** The node has a response; it is delivered in request order. */
    void answered(Attempt attempt, AttemptOutcome outcome, int from) {
        if (responseLost || network.losesAnswer() || !network.passes(from, owner.zone())) {
            responseLost = true; // later responses could not be matched to their requests
            return;
        }
        time.after(network.delayMs(from, owner.zone()), () -> arrived(new Answer(attempt, outcome)));
    }

    private void arrived(Answer answer) {
        if (closed) {
            return;
        }
        undelivered.add(answer);
        for (boolean more = true; more; ) {
            more = false;
            for (Answer a : undelivered) {
                if (a.attempt() == out.peek()) {
                    undelivered.remove(a);
                    out.poll();
                    usedMs = time.now();
                    owner.ended(a.attempt(), a.outcome());
                    more = !closed;
                    break;
                }
            }
        }
        if (out.isEmpty() && retired) {
            close();
        }
    }

    /** An attempt was abandoned: closes the connection if no other attempt on it is still awaited. */
    void gaveUp() {
        if (!closed && out.stream().allMatch(a -> a.ended)) {
            close();
        }
    }

    /** Accepts no new attempts; closes once those in flight have their responses. */
    void retire() {
        retired = true;
        if (out.isEmpty()) {
            close();
        }
    }

    /** The node or the network has reset the connection. */
    void reset() {
        if (!closed) {
            close();
            List.copyOf(out).forEach(a -> owner.ended(a, AttemptOutcome.RESET));
            out.clear();
        }
    }

    void close() {
        if (!closed) {
            closed = true;
            node.left(this);
            owner.closed(this);
        }
    }
}
