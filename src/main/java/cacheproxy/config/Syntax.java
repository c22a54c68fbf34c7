package cacheproxy.config;

import cacheproxy.config.Source.Place;
import java.util.List;

/** A file as it is written: what the formatter prints and the checker reads. */
final class Syntax {
    private Syntax() {}

    /**
     * Comments around an item.
     *
     * @param before each on a line of its own; an empty one stands for a blank line
     * @param after on the item's own last line, or null
     */
    record Comments(List<String> before, String after) {
        static final Comments NONE = new Comments(List.of(), null);
    }

    /** What may stand in a file or a block. */
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
     * @param opening comment on the line of the brace, or null
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

    /** What stands behind an equals sign. */
    sealed interface Value permits Text, Word, Quantity, Listing {
        Place place();
    }

    record Text(Place place, String text, String raw) implements Value {}

    record Word(Place place, String text) implements Value {}

    /** A number with or without a unit, not yet looked into. */
    record Quantity(Place place, String text) implements Value {}

    record Listing(Place place, List<Element> elements, List<String> closing) implements Value {}

    /** One of a list's values. */
    record Element(Value value, Comments comments) {}

    /** A whole file; {@code closing}: comments after the last item. */
    record Document(Source source, List<Item> items, List<String> closing) {}
}
