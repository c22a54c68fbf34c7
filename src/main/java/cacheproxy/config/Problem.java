package cacheproxy.config;

import cacheproxy.config.Source.Place;

/**
 * A mistake in a configuration file.
 *
 * @param place where it begins
 * @param message a description in one line
 * @param fix the most likely correction in one line; null if none is known
 */
public record Problem(Place place, String message, String fix) {
    /** Longer lines are cut to this many characters around the position. */
    private static final int MAX_SHOWN = 100;

    /** Human-readable text: position, source line with a caret, and fix. */
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

    /** Replaces control characters, so that a file can't send escape sequences to the terminal. */
    private static String printable(String line) {
        return line.chars()
                .map(c -> Character.isISOControl(c) ? '\ufffd' : c)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
