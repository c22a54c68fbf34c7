package cacheproxy.config;

/**
 * A file's text with its display name. Lines and columns start at 1; columns count UTF-16 code units, which matches
 * editors except for characters outside the basic multilingual plane.
 */
public final class Source {
    private final String name;
    private final String text;

    /** {@code name} is the path shown in messages. */
    public Source(String name, String text) {
        this.name = name;
        this.text = text;
    }

    /** The path shown in messages. */
    public String name() {
        return name;
    }

    String text() {
        return text;
    }

    /** A line without its terminator; empty past the last line. */
    String line(int number) {
        int from = 0;
        for (int i = 1; i < number; i++) {
            from = text.indexOf('\n', from) + 1;
            if (from == 0) {
                return "";
            }
        }
        int to = text.indexOf('\n', from);
        String line = text.substring(from, to < 0 ? text.length() : to);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    /** A position in the file. */
    public record Place(Source source, int line, int column) {
        /** As {@code FILE:LINE:COLUMN}. */
        @Override
        public String toString() {
            return source.name() + ":" + line + ":" + column;
        }

        /** As {@code FILE:LINE}. */
        public String fileAndLine() {
            return source.name() + ":" + line;
        }
    }
}
