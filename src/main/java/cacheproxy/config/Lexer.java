package cacheproxy.config;

import cacheproxy.config.Source.Place;
import cacheproxy.config.Token.Kind;
import java.util.ArrayList;
import java.util.List;

/** Cuts a file's text into words. What is none is told and left out, so that the rest can still be looked at. */
final class Lexer {
    private static final String PUNCTUATION = "={}[],";
    private static final Kind[] KINDS = {Kind.EQUALS, Kind.OPEN, Kind.CLOSE, Kind.OPEN_LIST, Kind.CLOSE_LIST, Kind.COMMA
    };

    private final Source source;
    private final String text;
    private final Problems problems;
    private final List<Token> tokens = new ArrayList<>();
    private int at;
    private int line = 1;
    private int lineStart;
    private int lineEnds;

    private Lexer(Source source, Problems problems) {
        this.source = source;
        this.text = source.text();
        this.problems = problems;
    }

    /** The words with the comments; the last is {@code END}. */
    static List<Token> tokens(Source source, Problems problems) {
        Lexer lexer = new Lexer(source, problems);
        while (lexer.at < lexer.text.length()) {
            lexer.next();
        }
        lexer.add(Kind.END, "", lexer.at);
        return lexer.tokens;
    }

    private Place place(int offset) {
        return new Place(source, line, offset - lineStart + 1);
    }

    private void add(Kind kind, String value, int from) {
        tokens.add(new Token(kind, value, text.substring(from, at), place(from), lineEnds));
        lineEnds = 0;
    }

    private void next() {
        char c = text.charAt(at);
        int from = at;
        if (c == '\n') {
            at++;
            line++;
            lineEnds++;
            lineStart = at;
        } else if (c == ' ' || c == '\t' || c == '\r' || (c == '\ufeff' && at == 0)) {
            at++;
        } else if (c == '#') {
            int end = text.indexOf('\n', at);
            at = end < 0 ? text.length() : end;
            add(Kind.COMMENT, text.substring(from, at).stripTrailing(), from);
        } else if (PUNCTUATION.indexOf(c) >= 0) {
            at++;
            add(KINDS[PUNCTUATION.indexOf(c)], text.substring(from, at), from);
        } else if (c == '"') {
            string();
        } else if (digit(c) || (c == '-' && at + 1 < text.length() && digit(text.charAt(at + 1)))) {
            at++;
            while (at < text.length() && (word(text.charAt(at)) || "%/".indexOf(text.charAt(at)) >= 0)) {
                at++;
            }
            add(Kind.QUANTITY, text.substring(from, at), from);
        } else if (start(c)) {
            while (at < text.length() && word(text.charAt(at))) {
                at++;
            }
            if (text.startsWith("*", at) && text.charAt(at - 1) == '-') {
                at++; // all that begin so, as in proxy-*
            }
            add(Kind.NAME, text.substring(from, at), from);
        } else {
            stray(c);
        }
    }

    /** One message for a run of characters that mean nothing. */
    private void stray(char c) {
        int from = at;
        boolean comment = (text.startsWith("//", at) || text.startsWith("/*", at))
                && (at == 0 || Character.isWhitespace(text.charAt(at - 1)));
        if (comment) {
            problems.add(place(from), "a comment of another language", "comments begin with # and end with the line");
            int end = text.indexOf('\n', at);
            at = end < 0 ? text.length() : end;
            return;
        }
        while (at < text.length()
                && !Character.isWhitespace(text.charAt(at))
                && !word(text.charAt(at))
                && "\"#={}[],".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        at = Math.max(at, from + 1);
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
                                : "'" + text.substring(from, Math.min(at, from + 10)) + "'"),
                fix);
    }

    private void string() {
        int from = at++;
        StringBuilder value = new StringBuilder();
        while (at < text.length() && text.charAt(at) != '"' && text.charAt(at) != '\n') {
            char c = text.charAt(at++);
            if (c != '\\') {
                if (Character.isISOControl(c) && c != '\t' && c != '\r') {
                    problems.add(
                            place(at - 1),
                            String.format("a control character in a string: U+%04X", (int) c),
                            "leave it out");
                }
                value.append(c);
                continue;
            }
            char e = at < text.length() ? text.charAt(at) : '\n';
            int known = "\"\\nt".indexOf(e);
            if (known >= 0) {
                value.append("\"\\\n\t".charAt(known));
                at++;
            } else {
                problems.add(
                        place(at - 1),
                        "an escape that is not known: \\" + (e == '\n' ? "" : e),
                        "\\\" \\\\ \\n and \\t are known; a single backslash is written \\\\");
                at += e == '\n' ? 0 : 1;
            }
        }
        if (at < text.length() && text.charAt(at) == '"') {
            at++;
        } else {
            problems.add(place(from), "a string that does not end on its line", "close it with a double quote");
        }
        add(Kind.STRING, value.toString(), from);
    }

    private static boolean digit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean start(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
    }

    private static boolean word(char c) {
        return start(c) || digit(c) || c == '-' || c == '.';
    }
}
