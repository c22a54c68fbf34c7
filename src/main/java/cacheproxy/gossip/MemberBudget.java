package cacheproxy.gossip;

import cacheproxy.membership.Membership;
import cacheproxy.membership.Send.Urgency;

/** The budget of an instance as its membership sees it: each of its messages is a datagram of its own. */
public record MemberBudget(Outbox outbox) implements Membership.Allowance {
    @Override
    public boolean take(double nowMs, int bytes, Urgency urgency) {
        return outbox.admits(nowMs, Envelope.bytes(bytes), Outbox.Level.values()[urgency.ordinal()]);
    }

    @Override
    public int spare(double nowMs) {
        return outbox.spare(nowMs);
    }
}
