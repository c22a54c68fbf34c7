package cacheproxy.config;

import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Configuration.Origin;
import cacheproxy.config.Configuration.Setting;
import cacheproxy.config.Section.Naming;
import cacheproxy.config.Syntax.Document;
import java.nio.file.Path;
import java.util.List;

/** What can be done with files of the language: check them, lay them out, and show what they come to. */
public final class ConfigFile {
    private ConfigFile() {}

    /**
     * Reads a file with all that it includes. What is wrong goes to {@code problems}, all of it in one run; the result
     * is of use only if there is none.
     */
    public static Configuration read(Path file, Schema schema, Problems problems) {
        List<Document> documents = Loader.load(file, problems);
        return Checker.check(documents, schema, problems);
    }

    /** Reads a text that includes nothing. */
    public static Configuration read(Source source, Schema schema, Problems problems) {
        return Checker.check(List.of(Parser.parse(source, problems)), schema, problems);
    }

    /** The text in the one layout; null if it has mistakes. Its includes are not followed. */
    public static String format(Source source, Problems problems) {
        Problems found = new Problems();
        Document document = Parser.parse(source, found);
        problems.addAll(found);
        return found.none() ? Formatter.format(document) : null;
    }

    /** All entries in one text with every value that holds, and where each comes from. Can itself be read. */
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
