package cacheproxy.control;

/** A command of the admin port: one word on a line. Answered on the event loop, so it must not block. */
interface AdminCommand {
    /** The word. */
    String wireName();

    /** The answer, each line with its line feed. */
    String answer(ControlRegistry registry);
}
