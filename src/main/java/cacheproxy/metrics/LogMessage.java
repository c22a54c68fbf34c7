package cacheproxy.metrics;

/**
 * The text of a log event: a fixed phrase followed by fields as {@code key=value}. Values that are empty or contain a
 * space, a quote or a control character are quoted, so that tools can split a line into its fields.
 */
public final class LogMessage {
    private static final char QUOTE = '"';

    private final StringBuilder text;

    private LogMessage(String phrase) {
        text = new StringBuilder(phrase);
    }

    /** Creates a message with a phrase that describes the event and is the same for each occurrence. */
    public static LogMessage of(String phrase) {
        return new LogMessage(phrase);
    }

    /** Adds a field and returns this message. */
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
