package cacheproxy.proxy;

import cacheproxy.route.Routing;

/**
 * What a client's line of the meta protocol asks for.
 *
 * @param kind of command
 * @param command the request, but for a write's value; null where the line makes none
 * @param valueLength bytes of a write's value, without its line's end; 0 for the others
 */
record MetaCommand(Kind kind, RequestCommand command, int valueLength) {
    private static final int MAX_KEY = 250;
    /** Of {@code mg} and {@code ms}, with the space behind. */
    private static final int NAME_LENGTH = 3;

    /** What a line can be. */
    enum Kind {
        /** {@code mn}: asks whether anybody is there. */
        NOOP,
        /** {@code mg}: reads a key. */
        READ,
        /** {@code ms}: writes one; a value follows, whether the line makes a request or not. */
        WRITE,
        /** Nothing that is known. */
        UNKNOWN
    }

    private static final MetaCommand NOOP = new MetaCommand(Kind.NOOP, null, 0);
    private static final MetaCommand UNKNOWN = new MetaCommand(Kind.UNKNOWN, null, 0);

    /**
     * Reads a line without its end.
     *
     * @throws MetaCodec.SyntaxException for a write whose value's length can't be read, so that its end is not known
     */
    static MetaCommand parse(String line) throws MetaCodec.SyntaxException {
        if (line.equals("mn")) {
            return NOOP;
        }
        boolean write = line.startsWith("ms ");
        if (!write && !line.startsWith("mg ")) {
            return UNKNOWN;
        }
        String key = MetaCodec.wordAt(line, NAME_LENGTH);
        int flags = NAME_LENGTH + key.length() + 1;
        int length = 0;
        if (write) {
            String word = MetaCodec.wordAt(line, flags);
            length = MetaCodec.length(word);
            flags += word.length() + 1;
        }
        return new MetaCommand(write ? Kind.WRITE : Kind.READ, command(line, key, flags, write), length);
    }

    private static RequestCommand command(String line, String key, int flags, boolean write) {
        String id = MetaCodec.flag(line, flags, 'O');
        String extras = MetaCodec.flag(line, flags, 'P');
        boolean bad = key.isEmpty()
                || key.length() > MAX_KEY
                || id == null
                || id.isEmpty()
                || extras == null
                || !printable(line);
        if (bad) {
            return null;
        }
        int list = line.indexOf(" P", flags - 1) + 2;
        int deadline = MetaCodec.valueAt(extras, "d");
        int deadlineInLine = deadline < 0 ? -1 : list + deadline;
        return new RequestCommand(
                Routing.META_FRONT,
                key,
                id,
                write,
                terms(extras),
                DeadlineText.of(extras, deadline),
                DeadlineText.of(line, deadlineInLine));
    }

    /** Guards the servers' connections: one that reads what it can't make out closes on all that wait there. */
    private static boolean printable(String line) {
        return line.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private static RequestTerms terms(String extras) {
        return new RequestTerms(
                MetaCodec.named(extras, "c"),
                MetaCodec.named(extras, "t"),
                figure(extras, "d", Double.NaN),
                figure(extras, "h", Double.NaN),
                (float) figure(extras, "size", 0),
                "1".equals(MetaCodec.named(extras, "r")));
    }

    private static double figure(String extras, String name, double absent) {
        String text = MetaCodec.named(extras, name);
        try {
            return text == null ? absent : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
