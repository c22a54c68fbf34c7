package cacheproxy.gossip;

import cacheproxy.membership.Membership;
import cacheproxy.membership.OutgoingMessage.Urgency;

/**
 * Applies the {@link SendBudget} to membership messages, each of which is a datagram of its own.
 *
 * @param budget the budget of this instance, shared with other senders
 */
public record MembershipBudget(SendBudget budget) implements Membership.MessageBudget {
    @Override
    public boolean tryAcquire(double nowMs, int bytes, Urgency urgency) {
        return budget.tryAcquire(nowMs, Envelope.datagramBytes(bytes), priority(urgency));
    }

    private static SendBudget.Priority priority(Urgency urgency) {
        return switch (urgency) {
            case RESPONSE -> SendBudget.Priority.HIGH;
            case MEMBERSHIP_CHANGE -> SendBudget.Priority.NORMAL;
            case BACKGROUND -> SendBudget.Priority.LOW;
        };
    }

    @Override
    public int availableBytes(double nowMs) {
        return budget.availableForLowPriority(nowMs);
    }
}
