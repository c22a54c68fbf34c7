package cacheproxy.config;

import cacheproxy.config.Source.Place;

/**
 * A word of the language.
 *
 * @param text as it stands in the file; for a string without quotes and with its escapes undone
 * @param raw as it stands in the file
 * @param lineEndsBefore how many lines end between the token before and this one
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
