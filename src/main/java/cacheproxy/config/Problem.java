package cacheproxy.config;

import cacheproxy.config.Source.Place;

/**
 * Something wrong in a file.
 *
 * @param place where it begins
 * @param message what is wrong, in one line
 * @param fix what would most likely mend it, in one line; null where nothing can be said
 */
public record Problem(Place place, String message, String fix) {
    /** Of a line longer than this only the part around the place is shown. */
    private static final int MAX_SHOWN = 100;

    /** For people: the place, the line with a caret under it, and the fix. */
    public String text() {
        String line = place.source().line(place.line()).replace('\t', ' ');
        int column = Math.max(1, Math.min(place.column(), line.length() + 1));
        int from = line.length() <= MAX_SHOWN
                ? 0
                : Math.max(0, Math.min(column - MAX_SHOWN / 2, line.length() - MAX_SHOWN));
        String shown = printable(line.substring(from, Math.min(line.length(), from + MAX_SHOWN)));
        String number = String.format("%6d | ", place.line());
        return place + ": " + printable(message) + "\n" + number + shown + "\n" + " ".repeat(number.length() - 2) + "| "
                + " ".repeat(column - 1 - from) + "^" + (fix == null ? "" : "\n  fix: " + printable(fix));
    }

    /** Control characters shown as a mark each, so that a file can't play with the terminal. */
    private static String printable(String line) {
        return line.chars()
                .map(c -> Character.isISOControl(c) ? '\ufffd' : c)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
