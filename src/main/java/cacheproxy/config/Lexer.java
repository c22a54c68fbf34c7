package cacheproxy.config;

import cacheproxy.config.Source.Place;
import cacheproxy.config.Token.Kind;
import java.util.ArrayList;
import java.util.List;

/** Splits a file's text into tokens. Invalid characters are reported and skipped, so that the rest is still checked. */
final class Lexer {
    private static final String PUNCTUATION = "={}[],";
    private static final Kind[] KINDS = {Kind.EQUALS, Kind.OPEN, Kind.CLOSE, Kind.OPEN_LIST, Kind.CLOSE_LIST, Kind.COMMA
    };

    private final Source source;
    private final String text;
    private final Problems problems;
    private final List<Token> tokens = new ArrayList<>();
    private int position;
    private int line = 1;
    private int lineStart;
    private int pendingLineEnds;

    private Lexer(Source source, Problems problems) {
        this.source = source;
        this.text = source.text();
        this.problems = problems;
    }

    /** All tokens including comments; the last is {@code END}. */
    static List<Token> tokens(Source source, Problems problems) {
        Lexer lexer = new Lexer(source, problems);
        while (lexer.position < lexer.text.length()) {
            lexer.readToken();
        }
        lexer.add(Kind.END, "", lexer.position);
        return lexer.tokens;
    }

    private Place place(int offset) {
        return new Place(source, line, offset - lineStart + 1);
    }

    private void add(Kind kind, String value, int from) {
        tokens.add(new Token(kind, value, text.substring(from, position), place(from), pendingLineEnds));
        pendingLineEnds = 0;
    }

    private void readToken() {
        char c = text.charAt(position);
        int from = position;
        if (c == '\n') {
            position++;
            line++;
            pendingLineEnds++;
            lineStart = position;
        } else if (c == ' ' || c == '\t' || c == '\r' || (c == '\ufeff' && position == 0)) {
            position++;
        } else if (c == '#') {
            int end = text.indexOf('\n', position);
            position = end < 0 ? text.length() : end;
            add(Kind.COMMENT, text.substring(from, position).stripTrailing(), from);
        } else if (PUNCTUATION.indexOf(c) >= 0) {
            position++;
            add(KINDS[PUNCTUATION.indexOf(c)], text.substring(from, position), from);
        } else if (c == '"') {
            readString();
        } else if (isDigit(c) || (c == '-' && position + 1 < text.length() && isDigit(text.charAt(position + 1)))) {
            position++;
            while (position < text.length()
                    && (isWordChar(text.charAt(position)) || "%/".indexOf(text.charAt(position)) >= 0)) {
                position++;
            }
            add(Kind.QUANTITY, text.substring(from, position), from);
        } else if (isNameStart(c)) {
            while (position < text.length() && isWordChar(text.charAt(position))) {
                position++;
            }
            if (text.startsWith("*", position) && text.charAt(position - 1) == '-') {
                position++; // a prefix pattern such as proxy-*
            }
            add(Kind.NAME, text.substring(from, position), from);
        } else {
            reportStray(c);
        }
    }

    /** Reports a run of invalid characters once. */
    private void reportStray(char c) {
        int from = position;
        boolean comment = (text.startsWith("//", position) || text.startsWith("/*", position))
                && (position == 0 || Character.isWhitespace(text.charAt(position - 1)));
        if (comment) {
            problems.add(place(from), "a comment of another language", "comments begin with # and end with the line");
            int end = text.indexOf('\n', position);
            position = end < 0 ? text.length() : end;
            return;
        }
        while (position < text.length()
                && !Character.isWhitespace(text.charAt(position))
                && !isWordChar(text.charAt(position))
                && "\"#={}[],".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        position = Math.max(position, from + 1);
        String fix = switch (c) {
            case ';' -> "leave it out; items need nothing between them";
            case ':' -> "write '=' between a name and its value";
            case '\'', '`', '\u201c', '\u201d' -> "strings stand in double quotes: \"...\"";
            case '(', ')' -> "lists stand in brackets: [ ... ]";
            case '%' -> "write it right behind the number, as 20%";
            case '/', '*', '?', '.', '@' -> "put patterns and paths in double quotes: \"...\"";
            case '$' -> "there are no variables; name a pool, policy or route by its name";
            default ->
                Character.isISOControl(c) || Character.isSurrogate(c) || c > 0x7f
                        ? "leave it out, or put it into a string"
                        : "leave it out";
        };
        problems.add(
                place(from),
                "a character that means nothing here: "
                        + (Character.isISOControl(c)
                                ? String.format("U+%04X", (int) c)
                                : "'" + text.substring(from, Math.min(position, from + 10)) + "'"),
                fix);
    }

    private void readString() {
        int from = position++;
        StringBuilder value = new StringBuilder();
        while (position < text.length() && text.charAt(position) != '"' && text.charAt(position) != '\n') {
            char c = text.charAt(position++);
            if (c != '\\') {
                if (Character.isISOControl(c) && c != '\t' && c != '\r') {
                    problems.add(
                            place(position - 1),
                            String.format("a control character in a string: U+%04X", (int) c),
                            "leave it out");
                }
                value.append(c);
                continue;
            }
            char e = position < text.length() ? text.charAt(position) : '\n';
            int known = "\"\\nt".indexOf(e);
            if (known >= 0) {
                value.append("\"\\\n\t".charAt(known));
                position++;
            } else {
                problems.add(
                        place(position - 1),
                        "an escape that is not known: \\" + (e == '\n' ? "" : e),
                        "\\\" \\\\ \\n and \\t are known; a single backslash is written \\\\");
                position += e == '\n' ? 0 : 1;
            }
        }
        if (position < text.length() && text.charAt(position) == '"') {
            position++;
        } else {
            problems.add(place(from), "a string that does not end on its line", "close it with a double quote");
        }
        add(Kind.STRING, value.toString(), from);
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isNameStart(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
    }

    private static boolean isWordChar(char c) {
        return isNameStart(c) || isDigit(c) || c == '-' || c == '.';
    }
}
