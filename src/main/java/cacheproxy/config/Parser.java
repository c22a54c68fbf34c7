package cacheproxy.config;

import cacheproxy.config.Source.Place;
import cacheproxy.config.Syntax.Attribute;
import cacheproxy.config.Syntax.Block;
import cacheproxy.config.Syntax.Comments;
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
import cacheproxy.config.Token.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * Recursive descent parser for one file. After a syntax error it resumes at the next line that can begin an item, so
 * that one run reports all errors. The nesting depth of blocks is limited, which bounds the stack.
 */
final class Parser {
    /** Far above the depth of any section. */
    static final int MAX_DEPTH = 16;

    private static final int MAX_LABELS = 4;

    private final Problems problems;
    private final List<Token> tokens;
    private int position;
    /** Set when excessive depth was reported; the blocks left open by it are then not reported as well. */
    private boolean depthReported;
    /** Comments read but not yet attached to an item. */
    private final List<String> pending = new ArrayList<>();

    private Parser(List<Token> tokens, Problems problems) {
        this.tokens = tokens;
        this.problems = problems;
    }

    /** Parses the file; invalid items are missing from the result. */
    static Document parse(Source source, Problems problems) {
        Parser parser = new Parser(Lexer.tokens(source, problems), problems);
        List<Item> items = parser.items(0, null);
        return new Document(source, items, parser.takePending(false));
    }

    // ---- tokens

    private Token peek() {
        return tokens.get(position);
    }

    /** The next token that is not a comment; comments before it become pending. */
    private Token peekToken() {
        while (peek().is(Kind.COMMENT)) {
            takeComment();
        }
        return peek();
    }

    private void takeComment() {
        Token c = tokens.get(position++);
        keepBlank(c);
        pending.add(c.text());
    }

    private void keepBlank(Token t) {
        if (t.lineEndsBefore() > 1
                && (pending.isEmpty() || !pending.get(pending.size() - 1).isEmpty())) {
            pending.add("");
        }
    }

    private Token take() {
        return tokens.get(position == tokens.size() - 1 ? position : position++);
    }

    private List<String> takePending(boolean leadingBlank) {
        List<String> taken = new ArrayList<>(pending);
        pending.clear();
        while (!taken.isEmpty() && taken.get(taken.size() - 1).isEmpty() && !leadingBlank) {
            taken.remove(taken.size() - 1);
        }
        return taken;
    }

    /** Consumes a comment that follows the last token on the same line, or returns null. */
    private String trailing() {
        return peek().is(Kind.COMMENT) && peek().lineEndsBefore() == 0 ? take().text() : null;
    }

    // ---- items

    private List<Item> items(int depth, Token open) {
        List<Item> items = new ArrayList<>();
        while (true) {
            Token t = peekToken();
            keepBlank(t);
            if (t.is(Kind.END)) {
                if (open != null && !depthReported) {
                    problems.add(open.place(), "a block that is not closed", "write } where it ends");
                }
                return items;
            }
            if (t.is(Kind.CLOSE)) {
                if (open != null) {
                    return items;
                }
                problems.add(
                        t.place(),
                        "a closing brace that closes nothing",
                        "leave it out, or look above for a block that was closed too early");
                take();
                continue;
            }
            if (!t.is(Kind.NAME)) {
                invalidStart(t);
                continue;
            }
            Item item = item(depth);
            if (item != null) {
                items.add(item);
            }
        }
    }

    private void invalidStart(Token t) {
        String fix = switch (t.kind()) {
            case STRING -> "an item begins with a name without quotes";
            case EQUALS -> "write the name that the value is for before the '='";
            case OPEN -> "write the block's name before the '{'";
            case COMMA -> "leave the comma out; items need nothing between them";
            default -> "an item is NAME = VALUE, or NAME \"LABEL\" { ... }";
        };
        problems.add(t.place(), t.shown() + " where an item should begin", fix);
        int start = position;
        skipItem();
        position = Math.max(position, start + 1);
    }

    /** Skips to the next line at this depth that begins with a name, or to the end of the block. */
    private void skipItem() {
        int depth = 0;
        for (Token t = peek(); !t.is(Kind.END); t = peek()) {
            if (depth == 0 && (t.is(Kind.CLOSE) || (t.is(Kind.NAME) && t.lineEndsBefore() > 0))) {
                return;
            }
            depth += t.is(Kind.OPEN) ? 1 : t.is(Kind.CLOSE) ? -1 : 0;
            take();
        }
    }

    private Item item(int depth) {
        List<String> before = takePending(true);
        Token name = take();
        Token t = peekToken();
        if (t.is(Kind.EQUALS)) {
            take();
            Value value = value();
            return value == null ? null : new Attribute(name.place(), comments(before), name.text(), value);
        }
        if (name.text().equals("include")) {
            return include(name, before, depth);
        }
        return block(name, before, depth);
    }

    /** Comments inside an item are moved in front of it. */
    private Comments comments(List<String> before) {
        String after = trailing();
        before.addAll(takePending(false));
        return new Comments(before, after);
    }

    private Item include(Token name, List<String> before, int depth) {
        Token path = peekToken();
        if (!path.is(Kind.STRING) || path.lineEndsBefore() > 0) {
            problems.add(
                    path.lineEndsBefore() > 0 ? name.place() : path.place(),
                    "include names no file",
                    "write include \"FILE\", the path in double quotes");
            skipItem();
            return null;
        }
        take();
        if (depth > 0) {
            problems.add(name.place(), "include within a block", "include files at the top level only");
            return null;
        }
        return new Include(name.place(), comments(before), path.text(), path.raw(), path.place());
    }

    private Item block(Token name, List<String> before, int depth) {
        List<Label> labels = new ArrayList<>();
        Token t = peekToken();
        while ((t.is(Kind.NAME) || t.is(Kind.STRING)) && t.lineEndsBefore() == 0 && labels.size() < MAX_LABELS) {
            labels.add(new Label(t.place(), t.text(), t.raw()));
            take();
            t = peekToken();
        }
        if (!t.is(Kind.OPEN)) {
            if (labels.isEmpty() && (t.is(Kind.QUANTITY) || t.is(Kind.OPEN_LIST)) && t.lineEndsBefore() == 0) {
                problems.add(
                        t.place(),
                        name.shown() + " has a value and no '='",
                        "write " + name.text() + " = "
                                + (t.is(Kind.QUANTITY)
                                        ? t.raw() + ", or " + name.text() + " \"" + t.raw() + "\" { ... }"
                                        : "[...]"));
            } else if (labels.size() == 1 && t.lineEndsBefore() > 0) {
                problems.add(
                        labels.get(0).place(),
                        name.shown() + " is neither a block nor an attribute",
                        "write " + name.text() + " = " + labels.get(0).raw() + ", or open a block with {");
            } else {
                problems.add(
                        t.lineEndsBefore() > 0 || t.is(Kind.END) ? name.place() : t.place(),
                        "neither '=' nor '{' after " + name.shown(),
                        "write " + name.text() + " = VALUE, or " + name.text() + " { ... }");
            }
            skipItem();
            return null;
        }
        Token open = take();
        if (depth + 1 > MAX_DEPTH) {
            problems.add(
                    open.place(),
                    "blocks nest more than " + MAX_DEPTH + " deep",
                    "no section has so many levels; look for a brace too many");
            depthReported = true;
            skipBlock();
            return null;
        }
        before.addAll(takePending(false));
        String opening = trailing();
        List<Item> items = items(depth + 1, open);
        List<String> closing = takePending(false);
        if (peekToken().is(Kind.CLOSE)) {
            take();
        }
        String after = trailing();
        return new Block(name.place(), new Comments(before, after), name.text(), labels, items, opening, closing);
    }

    private void skipBlock() {
        for (int depth = 1; depth > 0 && !peek().is(Kind.END); ) {
            Token t = take();
            depth += t.is(Kind.OPEN) ? 1 : t.is(Kind.CLOSE) ? -1 : 0;
        }
        pending.clear();
    }

    // ---- values

    private Value value() {
        Token equals = tokens.get(position - 1);
        Token t = peekToken();
        boolean nextItem = t.is(Kind.NAME)
                && t.lineEndsBefore() > 0
                && position + 1 < tokens.size()
                && (tokens.get(position + 1).is(Kind.EQUALS)
                        || tokens.get(position + 1).is(Kind.OPEN));
        if (nextItem || t.is(Kind.CLOSE) || t.is(Kind.END)) {
            problems.add(equals.place(), "no value after '='", "write the value behind it, or leave the line out");
            return null;
        }
        Value value = switch (t.kind()) {
            case STRING, NAME, QUANTITY -> scalar(take());
            case OPEN_LIST -> list(take());
            default -> null;
        };
        if (value == null && t.is(Kind.OPEN_LIST)) {
            return null;
        }
        if (value == null) {
            problems.add(
                    t.place(),
                    t.shown() + " where a value should stand",
                    t.is(Kind.OPEN)
                            ? "a block has no '=': write NAME { ... }"
                            : t.is(Kind.EQUALS)
                                    ? "write one '=' only"
                                    : "a value is a number with its unit, a name, \"a string\" or [a list]");
            skipItem();
            return null;
        }
        Token next = peek();
        if (next.lineEndsBefore() == 0
                && (next.is(Kind.STRING)
                        || next.is(Kind.QUANTITY)
                        || next.is(Kind.COMMA)
                        || next.is(Kind.EQUALS)
                        || (next.is(Kind.NAME) && !startsItem(position)))) {
            problems.add(
                    next.place(),
                    next.shown() + " after the value",
                    isUnit(value, next)
                            ? "write the unit without a space: " + ((Quantity) value).text() + next.text()
                            : "one value stands behind '='; several make a list: [a, b]");
            skipItem();
            return null;
        }
        return value;
    }

    private static boolean isUnit(Value value, Token next) {
        return value instanceof Quantity && next.is(Kind.NAME) && next.text().length() < 3;
    }

    /** Whether an item begins here; {@code a = 1 b = 2} on one line is two items. */
    private boolean startsItem(int index) {
        Kind after = tokens.get(Math.min(index + 1, tokens.size() - 1)).kind();
        return after == Kind.EQUALS || after == Kind.OPEN || after == Kind.STRING;
    }

    private static Value scalar(Token t) {
        return switch (t.kind()) {
            case STRING -> new Text(t.place(), t.text(), t.raw());
            case NAME -> new Word(t.place(), t.text());
            default -> new Quantity(t.place(), t.text());
        };
    }

    private Value list(Token open) {
        List<String> outer = new ArrayList<>(pending);
        pending.clear();
        List<Element> elements = new ArrayList<>();
        boolean comma = true;
        while (true) {
            Token t = peekToken();
            if (t.is(Kind.CLOSE_LIST)) {
                List<String> closing = takePending(false);
                closing.removeIf(String::isEmpty);
                take();
                pending.addAll(outer);
                return new Listing(open.place(), elements, closing);
            }
            if (t.is(Kind.STRING) || t.is(Kind.NAME) || t.is(Kind.QUANTITY)) {
                if (!comma) {
                    problems.add(
                            t.place(), "no comma between two values of a list", "write a comma before " + t.shown());
                }
                take();
                List<String> before = takePending(false);
                before.removeIf(String::isEmpty);
                comma = takeIfNext(Kind.COMMA);
                elements.add(new Element(scalar(t), new Comments(before, trailing())));
                continue;
            }
            if (t.is(Kind.COMMA)) {
                problems.add(t.place(), "a comma without a value before it", "leave it out");
                take();
                comma = true;
                continue;
            }
            problems.add(
                    t.is(Kind.OPEN_LIST) || t.is(Kind.OPEN) ? t.place() : open.place(),
                    t.is(Kind.OPEN_LIST)
                            ? "a list within a list"
                            : t.is(Kind.OPEN) ? "a block within a list" : "a list that is not closed",
                    t.is(Kind.OPEN_LIST)
                            ? "write all values in one list"
                            : t.is(Kind.OPEN) ? "a list holds plain values only" : "write ] behind its last value");
            skipItem();
            pending.addAll(outer);
            return null;
        }
    }

    /** Consumes the next non-comment token, and the comments before it, only if it has this kind. */
    private boolean takeIfNext(Kind kind) {
        int i = position;
        while (tokens.get(i).is(Kind.COMMENT)) {
            i++;
        }
        if (!tokens.get(i).is(kind)) {
            return false;
        }
        while (position < i) {
            takeComment();
        }
        take();
        return true;
    }

    /** The position of a file's first character. */
    static Place start(Source source) {
        return new Place(source, 1, 1);
    }
}
