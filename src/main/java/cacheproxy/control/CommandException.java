package cacheproxy.control;

/**
 * A command that can't be carried out, with the reason for whoever asked: an unknown name, a bad argument, a wrong
 * state.
 */
public final class CommandException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    CommandException(String reason) {
        super(reason);
    }
}
