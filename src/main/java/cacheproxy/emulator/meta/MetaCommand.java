package cacheproxy.emulator.meta;

/** One command as a server reads it. */
public sealed interface MetaCommand {

    /** The command's id, or an empty text where it has none. */
    default String id() {
        return "";
    }

    /** A read of a key. {@code extras} is the list behind the flag {@code P}, as it came. */
    record Read(String key, String id, String extras) implements MetaCommand {}

    /** A write. {@code value} is without its line's end. */
    record Write(String key, String id, String extras, byte[] value) implements MetaCommand {}

    /** {@code mn}, to be answered {@code MN}. */
    record Noop() implements MetaCommand {}

    /** {@code stats load}. */
    record Stats() implements MetaCommand {}

    /** What is no command; {@code fatal} if what follows can't be told apart any more. */
    record Unusable(String why, boolean fatal) implements MetaCommand {}

    /** The value under this name in a list such as {@code c=read,d=480}; null if it is not there. */
    static String named(String extras, String name) {
        for (String entry : extras.split(",")) {
            if (entry.startsWith(name) && entry.length() > name.length() && entry.charAt(name.length()) == '=') {
                return entry.substring(name.length() + 1);
            }
        }
        return null;
    }
}
