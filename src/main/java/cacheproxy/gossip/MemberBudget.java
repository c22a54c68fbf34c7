package cacheproxy.gossip;

import cacheproxy.membership.Membership;
import cacheproxy.membership.Send.Urgency;

/** The budget of an instance as its membership sees it: each of its messages is a datagram of its own. */
public record MemberBudget(Outbox outbox) implements Membership.Allowance {
    @Override
    public boolean take(double nowMs, int bytes, Urgency urgency) {
        return outbox.admits(nowMs, Envelope.bytes(bytes), level(urgency));
    }

    private static Outbox.Level level(Urgency urgency) {
        return switch (urgency) {
            case ANSWER -> Outbox.Level.FIRST;
            case CHANGE -> Outbox.Level.SECOND;
            case OTHER -> Outbox.Level.THIRD;
        };
    }

    @Override
    public int spare(double nowMs) {
        return outbox.spare(nowMs);
    }
}
