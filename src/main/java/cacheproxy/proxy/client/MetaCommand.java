package cacheproxy.proxy.client;

import cacheproxy.proxy.protocol.DeadlineTemplate;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.RequestParameters;
import cacheproxy.route.Routing;

/**
 * One command line of a client. The commands and flags of the protocol:
 *
 * <pre>
 * mn  {@link Kind#NOOP}     mg  {@link Kind#READ}     ms  {@link Kind#WRITE}
 * O   the request's id      P   its parameters: c class, t tenant, d deadline in ms, h work, size, r repeated
 * </pre>
 *
 * @param kind of command
 * @param command the request, without a write's value; null if the line is not a valid request
 * @param valueLength bytes of a write's value without its line end; 0 for the others
 */
record MetaCommand(Kind kind, RequestCommand command, int valueLength) {
    private static final int MAX_KEY_LENGTH = 250;
    /** Length of {@code mg} and {@code ms} with the space that follows. */
    private static final int NAME_BYTES = 3;

    /** The commands. */
    enum Kind {
        /** {@code mn}: checks that the instance responds. */
        NOOP,
        /** {@code mg}: reads a key. */
        READ,
        /** {@code ms}: writes a key; a value follows, even if the line is not a valid request. */
        WRITE,
        /** Any other line. */
        UNKNOWN
    }

    private static final MetaCommand NOOP = new MetaCommand(Kind.NOOP, null, 0);
    private static final MetaCommand UNKNOWN = new MetaCommand(Kind.UNKNOWN, null, 0);

    /**
     * Parses a line without its end.
     *
     * @throws MetaCodec.SyntaxException for a write whose value's length is malformed, so that its end is unknown
     */
    static MetaCommand parse(String line) throws MetaCodec.SyntaxException {
        if (line.equals("mn")) {
            return NOOP;
        }
        boolean write = line.startsWith("ms ");
        if (!write && !line.startsWith("mg ")) {
            return UNKNOWN;
        }
        String key = MetaCodec.tokenAt(line, NAME_BYTES);
        int flags = NAME_BYTES + key.length() + 1;
        int length = 0;
        if (write) {
            String lengthToken = MetaCodec.tokenAt(line, flags);
            length = MetaCodec.parseLength(lengthToken);
            flags += lengthToken.length() + 1;
        }
        return new MetaCommand(write ? Kind.WRITE : Kind.READ, command(line, key, flags, write), length);
    }

    private static RequestCommand command(String line, String key, int flags, boolean write) {
        String id = MetaCodec.flag(line, flags, 'O');
        String extras = MetaCodec.flag(line, flags, 'P');
        boolean bad = key.isEmpty()
                || key.length() > MAX_KEY_LENGTH
                || id == null
                || id.isEmpty()
                || extras == null
                || !printable(line);
        if (bad) {
            return null;
        }
        int list = line.indexOf(" P", flags - 1) + 2;
        int deadline = MetaCodec.parameterIndex(extras, "d");
        int deadlineInLine = deadline < 0 ? -1 : list + deadline;
        return new RequestCommand(
                Routing.META_FRONT,
                key,
                id,
                write,
                parameters(extras),
                DeadlineTemplate.of(extras, deadline),
                DeadlineTemplate.of(line, deadlineInLine));
    }

    /**
     * Whether the line is printable ASCII. Protects the connections to servers: a server that can't parse a line closes
     * its connection with all requests on it.
     */
    private static boolean printable(String line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ' || line.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    private static RequestParameters parameters(String extras) {
        return new RequestParameters(
                MetaCodec.parameter(extras, "c"),
                MetaCodec.parameter(extras, "t"),
                number(extras, "d", Double.NaN),
                number(extras, "h", Double.NaN),
                (float) number(extras, "size", 0),
                "1".equals(MetaCodec.parameter(extras, "r")));
    }

    private static double number(String extras, String name, double absent) {
        String text = MetaCodec.parameter(extras, name);
        try {
            return text == null ? absent : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
