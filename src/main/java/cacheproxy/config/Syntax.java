package cacheproxy.config;

import cacheproxy.config.Source.Place;
import java.util.List;

/** The syntax tree of a file, input of the formatter and the checker. */
final class Syntax {
    private Syntax() {}

    /**
     * Comments around an item.
     *
     * @param before comments on their own lines; an empty string is a blank line
     * @param after the comment on the item's last line, or null
     */
    record Comments(List<String> before, String after) {
        static final Comments NONE = new Comments(List.of(), null);
    }

    /** An element of a file or a block. */
    sealed interface Item permits Include, Attribute, Block {
        Place place();

        Comments comments();
    }

    /** {@code include "PATH"}. */
    record Include(Place place, Comments comments, String path, String raw, Place pathPlace) implements Item {}

    /** {@code NAME = VALUE}. */
    record Attribute(Place place, Comments comments, String name, Value value) implements Item {}

    /**
     * {@code NAME [LABEL ...] { ITEM ... }}.
     *
     * @param opening comment on the line of the opening brace, or null
     * @param closing comments before the closing brace
     */
    record Block(
            Place place,
            Comments comments,
            String name,
            List<Label> labels,
            List<Item> items,
            String opening,
            List<String> closing)
            implements Item {}

    /** A block's label, a name or a string. */
    record Label(Place place, String text, String raw) {}

    /** The right side of an attribute. */
    sealed interface Value permits Text, Word, Quantity, Listing {
        Place place();
    }

    record Text(Place place, String text, String raw) implements Value {}

    record Word(Place place, String text) implements Value {}

    /** A number with or without a unit, not yet parsed. */
    record Quantity(Place place, String text) implements Value {}

    record Listing(Place place, List<Element> elements, List<String> closing) implements Value {}

    /** An element of a list. */
    record Element(Value value, Comments comments) {}

    /** A whole file; {@code closing}: comments after the last item. */
    record Document(Source source, List<Item> items, List<String> closing) {}
}
