package cacheproxy.membership;

/**
 * A message to be sent.
 *
 * @param to the receiver's number
 * @param body as {@link MembershipMessage#decode} reads it
 * @param urgency which messages are sent first where the budget is short
 */
public record OutgoingMessage(int to, byte[] body, Urgency urgency) {
    /** The most urgent first. */
    public enum Urgency {
        /** A peer waits for it, or it refutes a wrong state. */
        RESPONSE,
        /** It tells of a change, or looks for one. */
        MEMBERSHIP_CHANGE,
        /** What may as well be sent later. */
        BACKGROUND
    }
}
