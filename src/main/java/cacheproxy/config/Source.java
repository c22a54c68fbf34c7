package cacheproxy.config;

/**
 * A file's text, by the name that it is told by. Lines and columns count from 1; a column is a code unit of UTF-16, as
 * editors count them but for characters outside the basic plane.
 */
public final class Source {
    private final String name;
    private final String text;

    /** {@code name}: as people know the file. */
    public Source(String name, String text) {
        this.name = name;
        this.text = text;
    }

    /** As people know it. */
    public String name() {
        return name;
    }

    String text() {
        return text;
    }

    /** The text of a line without its end, empty past the last. */
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

    /** A place in it. */
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
