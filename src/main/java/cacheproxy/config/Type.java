package cacheproxy.config;

import cacheproxy.config.Syntax.Quantity;
import cacheproxy.config.Syntax.Text;
import cacheproxy.config.Syntax.Value;
import cacheproxy.config.Syntax.Word;
import java.math.BigDecimal;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The type of an attribute's value. Each value has one canonical form, so that {@code 1s} equals {@code 1000ms}.
 * Quantities require a unit, because a bare number that one reader takes as seconds and another as milliseconds causes
 * outages.
 */
public final class Type {
    /**
     * A parsed value.
     *
     * @param value a {@link BigDecimal} in the base unit, a String or a Boolean
     * @param canonical the text form, equal for all equivalent notations
     */
    public record Parsed(Object value, String canonical) {}

    private record Unit(String base, Map<String, BigDecimal> factors, String example, String otherExample) {}

    private static final Pattern NUMBER = Pattern.compile("(-?\\d+(?:\\.\\d+)?)([a-zA-Z/%]*)");
    private static final int MAX_DIGITS = 15;
    private static final Unit DURATION = unit("ms", "us=0.001 ms=1 s=1000 m=60000 h=3600000 d=86400000", "ms", "s");
    private static final Unit SIZE =
            unit("B", "B=1 KB=1000 MB=1000000 GB=1000000000 KiB=1024 MiB=1048576 " + "GiB=1073741824", "KiB", "MiB");
    private static final Unit RATE = unit("/s", "/s=3600 /m=60 /h=1", "/s", "/m");
    private static final Unit SHARE = unit("%", "%=1", "%", null);
    private static final Map<String, Unit> UNITS =
            Map.of("duration", DURATION, "size", SIZE, "rate", RATE, "share", SHARE);

    private final String description;
    private final String reference;
    private final Function<Input, Parsed> reader;

    private record Input(Value value, Problems problems) {
        Parsed reject(String message, String fix) {
            problems.add(value.place(), message, fix);
            return null;
        }

        String shown() {
            return value instanceof Quantity q
                    ? "'" + shortened(q.text()) + "'"
                    : value instanceof Word w
                            ? "'" + shortened(w.text()) + "'"
                            : value instanceof Text t ? "\"" + shortened(t.text()) + "\"" : "a list";
        }

        private static String shortened(String text) {
            return text.length() > 40 ? text.substring(0, 40) + "..." : text;
        }
    }

    private Type(String description, String reference, Function<Input, Parsed> reader) {
        this.description = description;
        this.reference = reference;
        this.reader = reader;
    }

    /** A phrase for messages, such as "a duration". */
    public String description() {
        return description;
    }

    /** For a reference, the section of the referenced entry; else null. */
    String reference() {
        return reference;
    }

    Parsed read(Value value, Problems problems) {
        return reader.apply(new Input(value, problems));
    }

    // ---- the types

    /** A duration in milliseconds; bounds are written with a unit, such as "1ms". */
    public static Type duration(String min, String max) {
        return quantity("duration", DURATION, min, max);
    }

    /** A size in bytes. */
    public static Type size(String min, String max) {
        return quantity("size", SIZE, min, max);
    }

    /** A rate in events per hour, so that whole numbers per minute remain exact. */
    public static Type rate(String min, String max) {
        return quantity("rate", RATE, min, max);
    }

    /** A share in percent. */
    public static Type share(String min, String max) {
        return quantity("share", SHARE, min, max);
    }

    /** An integer without a unit. */
    public static Type count(long min, long max) {
        return new Type(
                "a whole number",
                null,
                r -> number(r, "a whole number", BigDecimal.valueOf(min), BigDecimal.valueOf(max), true));
    }

    /** A decimal number without a unit. */
    public static Type factor(String min, String max) {
        return new Type("a number", null, r -> number(r, "a number", new BigDecimal(min), new BigDecimal(max), false));
    }

    /** A quoted, non-empty string of at most {@code max} characters. */
    public static Type text(int max) {
        return new Type(
                "a string",
                null,
                r -> r.value() instanceof Text t
                        ? bounded(r, t.text(), max)
                        : r.reject(
                                r.shown() + " where a string belongs",
                                r.value() instanceof Word w
                                        ? "put it in quotes: \"" + w.text() + "\""
                                        : r.value() instanceof Quantity q
                                                ? "put it in quotes: \"" + q.text() + "\""
                                                : "write one string in quotes"));
    }

    private static Parsed bounded(Input r, String text, int max) {
        if (text.isEmpty()) {
            return r.reject("an empty string", "leave the line out if nothing is meant");
        }
        if (text.length() > max) {
            return r.reject("a string of " + text.length() + " characters", "at most " + max + " are taken");
        }
        return new Parsed(text, quoted(text));
    }

    /** A name, bare or quoted, of something defined outside the file. */
    public static Type name(int max) {
        return new Type(
                "a name",
                null,
                r -> r.value() instanceof Word w
                        ? bounded(r, w.text(), max)
                        : r.value() instanceof Text t
                                ? bounded(r, t.text(), max)
                                : r.reject(
                                        r.shown() + " where a name belongs",
                                        r.value() instanceof Quantity q
                                                ? "put it in quotes: \"" + q.text() + "\""
                                                : "write one name"));
    }

    /** One of the given keywords. */
    public static Type choice(String... choices) {
        List<String> all = List.of(choices);
        return new Type("one of " + String.join(", ", all), null, r -> {
            String given = r.value() instanceof Word w ? w.text() : null;
            if (given != null && all.contains(given)) {
                return new Parsed(given, given);
            }
            if (r.value() instanceof Text t && all.contains(t.text())) {
                return r.reject(
                        "a string where one of " + String.join(", ", all) + " belongs",
                        "write it without quotes: " + t.text());
            }
            return r.reject(
                    r.shown() + " where one of " + String.join(", ", all) + " belongs",
                    given == null ? "write one of them, without quotes" : Suggestions.suggest(given, all));
        });
    }

    /** {@code on} or {@code off}. */
    public static Type flag() {
        return new Type("on or off", null, r -> {
            String given = r.value() instanceof Word w ? w.text() : "";
            return switch (given) {
                case "on" -> new Parsed(true, "on");
                case "off" -> new Parsed(false, "off");
                case "true", "yes" -> r.reject(r.shown() + " where on or off belongs", "write on");
                case "false", "no", "none" -> r.reject(r.shown() + " where on or off belongs", "write off");
                default -> r.reject(r.shown() + " where on or off belongs", "write on or off, without quotes");
            };
        });
    }

    /** The name of an entry of a section. */
    public static Type reference(String section) {
        return new Type("the name of a " + section, section, r -> {
            String given = r.value() instanceof Word w ? w.text() : r.value() instanceof Text t ? t.text() : null;
            return given != null
                    ? new Parsed(given, quoted(given))
                    : r.reject(
                            r.shown() + " where the name of a " + section + " belongs",
                            "write the " + section + "'s name");
        });
    }

    // ---- quantities

    private static Unit unit(String base, String factors, String example, String otherExample) {
        Map<String, BigDecimal> all = new LinkedHashMap<>();
        for (String f : factors.split(" ")) {
            all.put(f.substring(0, f.indexOf('=')), new BigDecimal(f.substring(f.indexOf('=') + 1)));
        }
        return new Unit(base, all, example, otherExample);
    }

    @SuppressWarnings("ReferenceEquality") // units are singletons
    private static Type quantity(String kind, Unit unit, String min, String max) {
        BigDecimal low = parse(unit, min);
        BigDecimal high = parse(unit, max);
        String description = "a " + kind;
        return new Type(description, null, r -> {
            if (!(r.value() instanceof Quantity q)) {
                return r.reject(
                        r.shown() + " where " + description + " belongs",
                        r.value() instanceof Text t && NUMBER.matcher(t.text()).matches()
                                ? "write it without quotes: " + t.text()
                                : "write a number with its unit, as 250" + unit.example());
            }
            Matcher m = NUMBER.matcher(q.text());
            if (!m.matches() || m.group(1).length() > MAX_DIGITS) {
                return rejectNumber(r, q.text());
            }
            String suffix = m.group(2);
            if (suffix.isEmpty()) {
                return r.reject(
                        "a bare number where " + description + " belongs",
                        "write " + q.text() + unit.example()
                                + (unit.otherExample() == null ? "" : ", or " + q.text() + unit.otherExample()));
            }
            BigDecimal factor = unit.factors().get(suffix);
            if (factor == null) {
                return r.reject(unitMismatch(kind, suffix, r.shown()), suggestUnit(unit, m.group(1), suffix));
            }
            BigDecimal value = new BigDecimal(m.group(1)).multiply(factor);
            if (value.compareTo(low) < 0 || value.compareTo(high) > 0) {
                return r.reject(r.shown() + " is out of range", "from " + min + " to " + max);
            }
            BigDecimal plain = normalize(value);
            return new Parsed(plain, plain.toPlainString() + (unit == RATE ? "/h" : unit.base()));
        });
    }

    private static BigDecimal parse(Unit unit, String text) {
        Matcher m = NUMBER.matcher(text);
        if (!m.matches() || !unit.factors().containsKey(m.group(2))) {
            throw new IllegalArgumentException(text + " is not a valid bound in a unit of " + unit.base());
        }
        return new BigDecimal(m.group(1)).multiply(unit.factors().get(m.group(2)));
    }

    private static String unitMismatch(String kind, String suffix, String shown) {
        for (Map.Entry<String, Unit> u : UNITS.entrySet()) {
            if (u.getValue().factors().containsKey(suffix)) {
                return shown + " is a " + u.getKey() + ", and a " + kind + " belongs here";
            }
        }
        return shown + " has a unit that is not known";
    }

    private static String suggestUnit(Unit unit, String number, String suffix) {
        for (String known : unit.factors().keySet()) {
            if (known.equalsIgnoreCase(suffix)) {
                return "did you mean " + number + known + "?";
            }
        }
        // "mins", "sec", "hours", "msec": the longest known unit that the suffix starts with, unless the suffix is a
        // unit of
        // another kind
        boolean otherKind = UNITS.values().stream().anyMatch(u -> u.factors().containsKey(suffix));
        String start = otherKind
                ? null
                : unit.factors().keySet().stream()
                        .filter(suffix.toLowerCase(Locale.ROOT)::startsWith)
                        .max(Comparator.comparingInt(String::length))
                        .orElse(null);
        if (start != null) {
            return "did you mean " + number + start + "?";
        }
        return "units here are " + String.join(", ", unit.factors().keySet());
    }

    private static Parsed rejectNumber(Input r, String text) {
        return r.reject(
                r.shown() + " is no number that can be read",
                text.length() > MAX_DIGITS
                        ? "at most " + MAX_DIGITS + " characters are taken"
                        : text.contains("_")
                                ? "write the digits without a gap: " + text.replace("_", "")
                                : "write decimal digits and one unit behind them");
    }

    private static Parsed number(Input r, String description, BigDecimal low, BigDecimal high, boolean whole) {
        if (!(r.value() instanceof Quantity q)) {
            return r.reject(
                    r.shown() + " where " + description + " belongs",
                    r.value() instanceof Text t && NUMBER.matcher(t.text()).matches()
                            ? "write it without quotes: " + t.text()
                            : "write digits, from " + low.toPlainString() + " to " + high.toPlainString());
        }
        Matcher m = NUMBER.matcher(q.text());
        if (!m.matches() || m.group(1).length() > MAX_DIGITS) {
            return rejectNumber(r, q.text());
        }
        if (!m.group(2).isEmpty()) {
            return r.reject(r.shown() + " has a unit where " + description + " belongs", "write " + m.group(1));
        }
        BigDecimal value = normalize(new BigDecimal(m.group(1)));
        if (whole && value.scale() > 0) {
            return r.reject(r.shown() + " where " + description + " belongs", "leave the fraction out");
        }
        if (value.compareTo(low) < 0 || value.compareTo(high) > 0) {
            return r.reject(
                    r.shown() + " is out of range", "from " + low.toPlainString() + " to " + high.toPlainString());
        }
        return new Parsed(value, value.toPlainString());
    }

    private static BigDecimal normalize(BigDecimal value) {
        BigDecimal stripped = value.stripTrailingZeros();
        return stripped.scale() < 0 ? stripped.setScale(0) : stripped;
    }

    /** The text as a string literal of the language. */
    static String quoted(String text) {
        return "\""
                + text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\t", "\\t") + "\"";
    }
}
