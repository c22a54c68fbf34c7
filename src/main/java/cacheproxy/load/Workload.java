package cacheproxy.load;

import java.util.List;

/** What is to be sent, in the order of its times. */
public interface Workload extends AutoCloseable {
    /** The next request, or null at the end. */
    Planned next();

    /** Lines of a source that could not be read; null where there is no source. */
    default Unreadable unreadable() {
        return null;
    }

    /** How many lines were of no use, and where the first ones stand. */
    record Unreadable(long lines, List<Long> first) {}

    @Override
    default void close() {}
}
