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
 * What kind of value an attribute takes. A value has one canonical form, so that {@code 1s} and {@code 1000ms} are the
 * same; quantities carry their unit, because a number that means seconds to one and milliseconds to another is how
 * installations break.
 */
public final class Type {
    /**
     * A value that has been read.
     *
     * @param value a {@link BigDecimal} in the base unit, a String or a Boolean
     * @param canonical as text, alike for all ways to write it
     */
    public record Read(Object value, String canonical) {}

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

    private final String words;
    private final String reference;
    private final Function<Reading, Read> reader;

    private record Reading(Value value, Problems problems) {
        Read wrong(String message, String fix) {
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

    private Type(String words, String reference, Function<Reading, Read> reader) {
        this.words = words;
        this.reference = reference;
        this.reader = reader;
    }

    /** In words, as "a duration". */
    public String words() {
        return words;
    }

    /** The section whose entries a value of this type names, or null. */
    String reference() {
        return reference;
    }

    Read read(Value value, Problems problems) {
        return reader.apply(new Reading(value, problems));
    }

    // ---- the types

    /** A duration, read as milliseconds, within a range that is written as durations are. */
    public static Type duration(String least, String most) {
        return quantity("duration", DURATION, least, most);
    }

    /** A size, read as bytes. */
    public static Type size(String least, String most) {
        return quantity("size", SIZE, least, most);
    }

    /** A rate, read as events an hour, which keeps what is a whole number of them a minute exact. */
    public static Type rate(String least, String most) {
        return quantity("rate", RATE, least, most);
    }

    /** A share, read as percent. */
    public static Type share(String least, String most) {
        return quantity("share", SHARE, least, most);
    }

    /** A whole number without a unit. */
    public static Type count(long least, long most) {
        return new Type(
                "a whole number",
                null,
                r -> number(r, "a whole number", BigDecimal.valueOf(least), BigDecimal.valueOf(most), true));
    }

    /** A number without a unit, perhaps with a fraction. */
    public static Type factor(String least, String most) {
        return new Type(
                "a number", null, r -> number(r, "a number", new BigDecimal(least), new BigDecimal(most), false));
    }

    /** A string in quotes, not empty, of so many characters at most. */
    public static Type text(int most) {
        return new Type(
                "a string",
                null,
                r -> r.value() instanceof Text t
                        ? bounded(r, t.text(), most)
                        : r.wrong(
                                r.shown() + " where a string belongs",
                                r.value() instanceof Word w
                                        ? "put it in quotes: \"" + w.text() + "\""
                                        : r.value() instanceof Quantity q
                                                ? "put it in quotes: \"" + q.text() + "\""
                                                : "write one string in quotes"));
    }

    private static Read bounded(Reading r, String text, int most) {
        if (text.isEmpty()) {
            return r.wrong("an empty string", "leave the line out if nothing is meant");
        }
        if (text.length() > most) {
            return r.wrong("a string of " + text.length() + " characters", "at most " + most + " are taken");
        }
        return new Read(text, quoted(text));
    }

    /** A name or a string that names something outside of the file. */
    public static Type name(int most) {
        return new Type(
                "a name",
                null,
                r -> r.value() instanceof Word w
                        ? bounded(r, w.text(), most)
                        : r.value() instanceof Text t
                                ? bounded(r, t.text(), most)
                                : r.wrong(
                                        r.shown() + " where a name belongs",
                                        r.value() instanceof Quantity q
                                                ? "put it in quotes: \"" + q.text() + "\""
                                                : "write one name"));
    }

    /** One of these words. */
    public static Type choice(String... choices) {
        List<String> all = List.of(choices);
        return new Type("one of " + String.join(", ", all), null, r -> {
            String given = r.value() instanceof Word w ? w.text() : null;
            if (given != null && all.contains(given)) {
                return new Read(given, given);
            }
            if (r.value() instanceof Text t && all.contains(t.text())) {
                return r.wrong(
                        "a string where one of " + String.join(", ", all) + " belongs",
                        "write it without quotes: " + t.text());
            }
            return r.wrong(
                    r.shown() + " where one of " + String.join(", ", all) + " belongs",
                    given == null ? "write one of them, without quotes" : Names.fix(given, all));
        });
    }

    /** {@code on} or {@code off}. */
    public static Type flag() {
        return new Type("on or off", null, r -> {
            String given = r.value() instanceof Word w ? w.text() : "";
            return switch (given) {
                case "on" -> new Read(true, "on");
                case "off" -> new Read(false, "off");
                case "true", "yes" -> r.wrong(r.shown() + " where on or off belongs", "write on");
                case "false", "no", "none" -> r.wrong(r.shown() + " where on or off belongs", "write off");
                default -> r.wrong(r.shown() + " where on or off belongs", "write on or off, without quotes");
            };
        });
    }

    /** The name of an entry of a section. */
    public static Type reference(String section) {
        return new Type("the name of a " + section, section, r -> {
            String given = r.value() instanceof Word w ? w.text() : r.value() instanceof Text t ? t.text() : null;
            return given != null
                    ? new Read(given, quoted(given))
                    : r.wrong(
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

    @SuppressWarnings("ReferenceEquality") // each unit is one constant
    private static Type quantity(String kind, Unit unit, String least, String most) {
        BigDecimal low = parse(unit, least);
        BigDecimal high = parse(unit, most);
        String words = "a " + kind;
        return new Type(words, null, r -> {
            if (!(r.value() instanceof Quantity q)) {
                return r.wrong(
                        r.shown() + " where " + words + " belongs",
                        r.value() instanceof Text t && NUMBER.matcher(t.text()).matches()
                                ? "write it without quotes: " + t.text()
                                : "write a number with its unit, as 250" + unit.example());
            }
            Matcher m = NUMBER.matcher(q.text());
            if (!m.matches() || m.group(1).length() > MAX_DIGITS) {
                return unreadable(r, q.text());
            }
            String suffix = m.group(2);
            if (suffix.isEmpty()) {
                return r.wrong(
                        "a bare number where " + words + " belongs",
                        "write " + q.text() + unit.example()
                                + (unit.otherExample() == null ? "" : ", or " + q.text() + unit.otherExample()));
            }
            BigDecimal factor = unit.factors().get(suffix);
            if (factor == null) {
                return r.wrong(foreign(kind, suffix, r.shown()), fix(unit, m.group(1), suffix));
            }
            BigDecimal value = new BigDecimal(m.group(1)).multiply(factor);
            if (value.compareTo(low) < 0 || value.compareTo(high) > 0) {
                return r.wrong(r.shown() + " is out of range", "from " + least + " to " + most);
            }
            BigDecimal plain = plain(value);
            return new Read(plain, plain.toPlainString() + (unit == RATE ? "/h" : unit.base()));
        });
    }

    private static BigDecimal parse(Unit unit, String text) {
        Matcher m = NUMBER.matcher(text);
        if (!m.matches() || !unit.factors().containsKey(m.group(2))) {
            throw new IllegalArgumentException(text + " is no bound of a quantity in " + unit.base());
        }
        return new BigDecimal(m.group(1)).multiply(unit.factors().get(m.group(2)));
    }

    private static String foreign(String kind, String suffix, String shown) {
        for (Map.Entry<String, Unit> u : UNITS.entrySet()) {
            if (u.getValue().factors().containsKey(suffix)) {
                return shown + " is a " + u.getKey() + ", and a " + kind + " belongs here";
            }
        }
        return shown + " has a unit that is not known";
    }

    private static String fix(Unit unit, String number, String suffix) {
        for (String known : unit.factors().keySet()) {
            if (known.equalsIgnoreCase(suffix)) {
                return "did you mean " + number + known + "?";
            }
        }
        // "mins", "sec", "hours", "msec": a longer word for one that is known, if it is not one of another kind.
        boolean foreign = UNITS.values().stream().anyMatch(u -> u.factors().containsKey(suffix));
        String start = foreign
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

    private static Read unreadable(Reading r, String text) {
        return r.wrong(
                r.shown() + " is no number that can be read",
                text.length() > MAX_DIGITS
                        ? "at most " + MAX_DIGITS + " characters are taken"
                        : text.contains("_")
                                ? "write the digits without a gap: " + text.replace("_", "")
                                : "write decimal digits and one unit behind them");
    }

    private static Read number(Reading r, String words, BigDecimal low, BigDecimal high, boolean whole) {
        if (!(r.value() instanceof Quantity q)) {
            return r.wrong(
                    r.shown() + " where " + words + " belongs",
                    r.value() instanceof Text t && NUMBER.matcher(t.text()).matches()
                            ? "write it without quotes: " + t.text()
                            : "write digits, from " + low.toPlainString() + " to " + high.toPlainString());
        }
        Matcher m = NUMBER.matcher(q.text());
        if (!m.matches() || m.group(1).length() > MAX_DIGITS) {
            return unreadable(r, q.text());
        }
        if (!m.group(2).isEmpty()) {
            return r.wrong(r.shown() + " has a unit where " + words + " belongs", "write " + m.group(1));
        }
        BigDecimal value = plain(new BigDecimal(m.group(1)));
        if (whole && value.scale() > 0) {
            return r.wrong(r.shown() + " where " + words + " belongs", "leave the fraction out");
        }
        if (value.compareTo(low) < 0 || value.compareTo(high) > 0) {
            return r.wrong(
                    r.shown() + " is out of range", "from " + low.toPlainString() + " to " + high.toPlainString());
        }
        return new Read(value, value.toPlainString());
    }

    private static BigDecimal plain(BigDecimal value) {
        BigDecimal stripped = value.stripTrailingZeros();
        return stripped.scale() < 0 ? stripped.setScale(0) : stripped;
    }

    /** As a string of the language. */
    static String quoted(String text) {
        return "\""
                + text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\t", "\\t") + "\"";
    }
}
