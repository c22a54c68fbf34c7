package cacheproxy.config;

import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Configuration.Origin;
import cacheproxy.config.Configuration.Setting;
import cacheproxy.config.Section.Naming;
import cacheproxy.config.Syntax.Document;
import java.nio.file.Path;
import java.util.List;

/** Entry points of the configuration language: read and check, format, and print the effective configuration. */
public final class ConfigFile {
    private ConfigFile() {}

    /**
     * Reads a file and its includes. All mistakes are added to {@code problems} in one run; the result is valid only if
     * there is none.
     */
    public static Configuration read(Path file, Schema schema, Problems problems) {
        List<Document> documents = Loader.load(file, problems);
        return Checker.check(documents, schema, problems);
    }

    /** Reads a text; its includes are not loaded. */
    public static Configuration read(Source source, Schema schema, Problems problems) {
        return Checker.check(List.of(Parser.parse(source, problems)), schema, problems);
    }

    /** The text in canonical layout, or null if it has mistakes. Includes are not loaded. */
    public static String format(Source source, Problems problems) {
        Problems found = new Problems();
        Document document = Parser.parse(source, found);
        problems.addAll(found);
        return found.none() ? Formatter.format(document) : null;
    }

    /** All entries as one text with every effective value and its origin. The text is itself a valid configuration. */
    public static String effective(Configuration configuration) {
        StringBuilder s = new StringBuilder();
        for (Entry e : configuration.entries()) {
            s.append(s.isEmpty() ? "" : "\n")
                    .append("# ")
                    .append(e.place().fileAndLine())
                    .append('\n');
            append(s, e, "");
        }
        return s.toString();
    }

    private static void append(StringBuilder s, Entry e, String indent) {
        String name = e.section().naming() == Naming.NAMED ? " " + Type.quoted(e.name()) : "";
        s.append(indent).append(e.section().name()).append(name).append(" {\n");
        e.settings()
                .forEach((attribute, setting) -> s.append(indent)
                        .append("  ")
                        .append(attribute)
                        .append(" = ")
                        .append(setting.canonical())
                        .append(origin(setting))
                        .append('\n'));
        e.blocks().forEach(b -> append(s, b, indent + "  "));
        s.append(indent).append("}\n");
    }

    private static String origin(Setting setting) {
        if (setting.origin() == Origin.BUILT_IN) {
            return "  # built in";
        }
        String where = setting.origin() == Origin.DEFAULTS
                ? "  # default, " + setting.place().fileAndLine()
                : "";
        Setting overridden = setting.overridden();
        if (setting.origin() == Origin.OWN
                && overridden != null
                && !overridden.canonical().equals(setting.canonical())) {
            where = "  # instead of " + overridden.canonical()
                    + (overridden.place() == null
                            ? ", built in"
                            : ", " + overridden.place().fileAndLine());
        }
        return where;
    }
}
