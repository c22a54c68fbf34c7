package cacheproxy.control;

/** A command of the admin port: one word on a line. Runs on the event loop, so it must not block. */
interface AdminCommand {
    /** The command's name on the wire. */
    String wireName();

    /** The answer; each line ends with a line feed. */
    String answer(ControlRegistry registry);
}
