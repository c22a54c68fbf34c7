package cacheproxy.control;

/** What operators can ask for at the door: one word on a line. Answered on the event loop, so it must not wait. */
interface AdminCommand {
    /** The word. */
    String word();

    /** The answer, each line with its end. */
    String answer(ControlRegistry registry);
}
