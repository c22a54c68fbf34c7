package cacheproxy.emulator.meta;

/** A command as decoded by a server. */
public sealed interface MetaCommand {

    /** The command's id, or an empty string if it has none. */
    default String id() {
        return "";
    }

    /** A read of a key. {@code extras} is the unparsed list in the {@code P} flag. */
    record Read(String key, String id, String extras) implements MetaCommand {}

    /** A write. {@code value} excludes the trailing CR LF. */
    record Write(String key, String id, String extras, byte[] value) implements MetaCommand {}

    /** {@code mn}; the response is {@code MN}. */
    record Noop() implements MetaCommand {}

    /** {@code stats load}. */
    record Stats() implements MetaCommand {}

    /** An invalid command; {@code fatal} if the stream can't be resynchronized after it. */
    record Unusable(String why, boolean fatal) implements MetaCommand {}

    /** Returns the named value in a list such as {@code c=read,d=480}, or null if absent. */
    static String named(String extras, String name) {
        for (String entry : extras.split(",")) {
            if (entry.startsWith(name) && entry.length() > name.length() && entry.charAt(name.length()) == '=') {
                return entry.substring(name.length() + 1);
            }
        }
        return null;
    }
}
