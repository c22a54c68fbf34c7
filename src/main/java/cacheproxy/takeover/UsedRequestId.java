package cacheproxy.takeover;

/**
 * An id that a process of an instance has accepted in a request, as told to the other process of a takeover: neither of
 * them may accept it again. As a line, {@code ID RETENTION KEY}. Pure.
 *
 * @param key the id, or what stands for a long one; without white space
 * @param retentionMs for how long it stays in use, in milliseconds; 0 or more
 */
public record UsedRequestId(String key, long retentionMs) {
    /** The longest key, in characters. */
    public static final int MAX_KEY_LENGTH = 40;

    private static final String NAME = "ID";
    /** Twice the longest timeout of a request, which is a day. */
    private static final long MAX_RETENTION_MS = 2 * 86_400_000L;

    /** The line, without a line terminator. */
    public String toLine() {
        return NAME + " " + Math.min(retentionMs, MAX_RETENTION_MS) + " " + key;
    }

    /**
     * Parses the output of {@link #toLine}.
     *
     * @throws IllegalArgumentException if the line is not of this form
     */
    public static UsedRequestId parse(String line) {
        String[] fields = line.split(" ", -1);
        if (fields.length != 3 || !fields[0].equals(NAME) || fields[2].isEmpty()) {
            throw new IllegalArgumentException("no id of a request: " + line);
        }
        long retentionMs = Long.parseLong(fields[1]);
        if (retentionMs < 0 || retentionMs > MAX_RETENTION_MS || fields[2].length() > MAX_KEY_LENGTH) {
            throw new IllegalArgumentException("id of a request out of range: " + line);
        }
        return new UsedRequestId(fields[2], retentionMs);
    }
}
