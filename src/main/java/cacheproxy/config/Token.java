package cacheproxy.config;

import cacheproxy.config.Source.Place;

/**
 * A token.
 *
 * @param text the source text; for a string, its value without quotes and escapes
 * @param raw the source text
 * @param lineEndsBefore the number of line ends between the previous token and this one
 */
record Token(Kind kind, String text, String raw, Place place, int lineEndsBefore) {
    enum Kind {
        NAME("a name"),
        STRING("a string"),
        QUANTITY("a number"),
        COMMENT("a comment"),
        EQUALS("'='"),
        OPEN("'{'"),
        CLOSE("'}'"),
        OPEN_LIST("'['"),
        CLOSE_LIST("']'"),
        COMMA("','"),
        END("the end of the file");

        final String description;

        Kind(String description) {
            this.description = description;
        }
    }

    boolean is(Kind other) {
        return kind == other;
    }

    String shown() {
        return switch (kind) {
            case NAME, QUANTITY -> "'" + (text.length() > 40 ? text.substring(0, 40) + "..." : text) + "'";
            default -> kind.description;
        };
    }
}
