package cacheproxy.proxy;

/**
 * A text of a request that names how long its client waits, kept apart at that figure. Each attempt is told the time
 * that is left when its bytes go out, which is less than what the client asked for at first.
 *
 * @param before what comes before the figure
 * @param after what comes behind it
 */
public record DeadlineText(String before, String after) {
    /** Names no deadline and nothing else. */
    public static final DeadlineText EMPTY = new DeadlineText("", "");

    /**
     * Takes a text apart at the figure that begins at {@code at} and ends before the next comma or space.
     *
     * @param at where the figure begins; negative if the text names none, which then would stand at its end
     */
    public static DeadlineText of(String text, int at) {
        int begin = at < 0 ? text.length() : at;
        int end = begin;
        while (end < text.length() && text.charAt(end) != ',' && text.charAt(end) != ' ') {
            end++;
        }
        return new DeadlineText(text.substring(0, begin), text.substring(end));
    }

    /** The text with so many milliseconds as its deadline. */
    String with(long remainingMs) {
        return before + remainingMs + after;
    }
}
