package cacheproxy.membership;

/**
 * A message that is to go out.
 *
 * @param to the instance's number
 * @param body as {@link MembershipMessage#decode} reads it
 * @param urgency what goes first where there is not room for all
 */
public record OutgoingMessage(int to, byte[] body, Urgency urgency) {
    /** From the most urgent on. */
    public enum Urgency {
        /** Somebody waits for it, or it refutes what is wrong. */
        ANSWER,
        /** Something has changed. */
        MEMBERSHIP_CHANGE,
        /** The rest. */
        BACKGROUND
    }
}
