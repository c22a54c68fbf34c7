package cacheproxy.metrics;

/**
 * The text of a logged event: a fixed phrase, then ids and figures as {@code key=value}. A value with a space, a quote
 * or a control character is quoted, so that a line can be split at its spaces.
 */
public final class LogMessage {
    private static final char QUOTE = '"';

    private final StringBuilder text;

    private LogMessage(String phrase) {
        text = new StringBuilder(phrase);
    }

    /** A message that says what happened, in a phrase that is the same for every event of the kind. */
    public static LogMessage of(String phrase) {
        return new LogMessage(phrase);
    }

    /** Adds a field. */
    public LogMessage with(String key, Object value) {
        text.append(' ').append(key).append('=');
        String plain = String.valueOf(value);
        if (plain.isEmpty() || plain.chars().anyMatch(LogMessage::needsQuotes)) {
            appendQuoted(plain);
        } else {
            text.append(plain);
        }
        return this;
    }

    private static boolean needsQuotes(int character) {
        return character <= ' ' || character == QUOTE || Character.isISOControl(character);
    }

    private void appendQuoted(String plain) {
        text.append(QUOTE);
        for (int i = 0; i < plain.length(); i++) {
            char character = plain.charAt(i);
            if (character == QUOTE || character == '\\') {
                text.append('\\').append(character);
            } else {
                text.append(Character.isISOControl(character) ? ' ' : character);
            }
        }
        text.append(QUOTE);
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
