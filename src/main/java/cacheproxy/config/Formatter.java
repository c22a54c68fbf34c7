package cacheproxy.config;

import cacheproxy.config.Syntax.Attribute;
import cacheproxy.config.Syntax.Block;
import cacheproxy.config.Syntax.Document;
import cacheproxy.config.Syntax.Element;
import cacheproxy.config.Syntax.Include;
import cacheproxy.config.Syntax.Item;
import cacheproxy.config.Syntax.Label;
import cacheproxy.config.Syntax.Listing;
import cacheproxy.config.Syntax.Quantity;
import cacheproxy.config.Syntax.Text;
import cacheproxy.config.Syntax.Value;
import cacheproxy.config.Syntax.Word;
import java.util.List;

/** Prints a file in canonical layout: two spaces per level, one item per line, comments preserved. */
final class Formatter {
    private static final int MAX_LINE_LENGTH = 100;
    private static final String INDENT = "  ";

    private final StringBuilder out = new StringBuilder();

    private Formatter() {}

    /**
     * The formatted text. The document must come from a file without syntax errors, as the parser drops invalid items.
     */
    static String format(Document document) {
        Formatter f = new Formatter();
        f.items(document.items(), "", document.closing());
        return f.out.toString();
    }

    private void items(List<Item> items, String indent, List<String> closing) {
        boolean first = true;
        Item last = null;
        for (Item item : items) {
            List<String> before = item.comments().before();
            boolean blank = !before.isEmpty() && before.get(0).isEmpty();
            boolean apart = last instanceof Block || (item instanceof Block && last != null);
            if (!first && (blank || apart)) {
                out.append('\n');
            }
            comments(before.subList(blank ? 1 : 0, before.size()), indent);
            item(item, indent);
            first = false;
            last = item;
        }
        boolean blank = !closing.isEmpty() && closing.get(0).isEmpty();
        if (blank && !first) {
            out.append('\n');
        }
        comments(closing.subList(blank ? 1 : 0, closing.size()), indent);
    }

    private void comments(List<String> lines, String indent) {
        for (String line : lines) {
            out.append(line.isEmpty() ? "" : indent + line).append('\n');
        }
    }

    private void item(Item item, String indent) {
        out.append(indent);
        if (item instanceof Include i) {
            out.append("include ").append(i.raw());
        } else if (item instanceof Attribute a) {
            out.append(a.name()).append(" = ");
            value(a.value(), indent, indent.length() + a.name().length() + 3);
        } else if (item instanceof Block b) {
            out.append(b.name());
            for (Label l : b.labels()) {
                out.append(' ').append(l.raw());
            }
            out.append(" {");
            if (b.items().isEmpty() && b.closing().isEmpty() && b.opening() == null) {
                out.append('}');
            } else {
                out.append(b.opening() == null ? "" : INDENT + b.opening()).append('\n');
                items(b.items(), indent + INDENT, b.closing());
                out.append(indent).append('}');
            }
        }
        out.append(
                        item.comments().after() == null
                                ? ""
                                : INDENT + item.comments().after())
                .append('\n');
    }

    private void value(Value value, String indent, int column) {
        if (!(value instanceof Listing list)) {
            out.append(scalar(value));
            return;
        }
        boolean hasComments = !list.closing().isEmpty()
                || list.elements().stream()
                        .anyMatch(e ->
                                !e.comments().before().isEmpty() || e.comments().after() != null);
        String line = "["
                + String.join(
                        ", ",
                        list.elements().stream().map(e -> scalar(e.value())).toList()) + "]";
        if (!hasComments && column + line.length() <= MAX_LINE_LENGTH) {
            out.append(line);
            return;
        }
        out.append("[\n");
        for (Element e : list.elements()) {
            comments(e.comments().before(), indent + INDENT);
            out.append(indent)
                    .append(INDENT)
                    .append(scalar(e.value()))
                    .append(',')
                    .append(
                            e.comments().after() == null
                                    ? ""
                                    : INDENT + e.comments().after())
                    .append('\n');
        }
        comments(list.closing(), indent + INDENT);
        out.append(indent).append(']');
    }

    private static String scalar(Value value) {
        return value instanceof Text t ? t.raw() : value instanceof Word w ? w.text() : ((Quantity) value).text();
    }
}
