package cacheproxy.proxy.protocol;

/**
 * A template of a request's text that contains its timeout, split around that number. Each attempt is sent the time
 * that remains when its bytes are written, which is less than what the client stated.
 *
 * @param before the text before the number
 * @param after the text after the number
 */
public record DeadlineTemplate(String before, String after) {
    /** Contains the timeout and nothing else. */
    public static final DeadlineTemplate EMPTY = new DeadlineTemplate("", "");

    /**
     * Splits a text around the number that begins at {@code index} and ends before the next comma or space.
     *
     * @param index where the number begins; negative if the text has none: it then gets one at its end
     */
    public static DeadlineTemplate of(String text, int index) {
        int begin = index < 0 ? text.length() : index;
        int end = begin;
        while (end < text.length() && text.charAt(end) != ',' && text.charAt(end) != ' ') {
            end++;
        }
        return new DeadlineTemplate(text.substring(0, begin), text.substring(end));
    }

    /** The text with this timeout, in milliseconds. */
    public String with(long remainingMs) {
        return before + remainingMs + after;
    }
}
