package cacheproxy.membership;

/**
 * A message to be sent.
 *
 * @param to the number of the receiver
 * @param body decoded by {@link MembershipMessage#decode}
 * @param urgency determines which messages are sent first if the budget is short
 */
public record OutgoingMessage(int to, byte[] body, Urgency urgency) {
    /** How urgent a message is; the most urgent first. */
    public enum Urgency {
        /** A peer waits for the message, or it refutes a wrong state. */
        RESPONSE,
        /** The message reports a change, or checks for one. */
        MEMBERSHIP_CHANGE,
        /** The message can be sent later. */
        BACKGROUND
    }
}
