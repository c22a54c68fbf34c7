package cacheproxy.control;

/**
 * Thrown if a command can't be carried out because of an unknown name, an invalid argument or the present state. Its
 * message is sent to the client.
 */
public final class CommandException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    CommandException(String reason) {
        super(reason);
    }
}
