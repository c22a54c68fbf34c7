package cacheproxy.load;

import java.util.List;

/** A sequence of scheduled requests, in the order of their times. */
public interface Workload extends AutoCloseable {
    /** The next request, or null at the end. */
    Planned next();

    /** Source lines that could not be parsed; null for a workload that is not read from a source. */
    default Unreadable unreadable() {
        return null;
    }

    /** The number of lines that could not be parsed and the line numbers of the first ones. */
    record Unreadable(long lines, List<Long> first) {}

    @Override
    default void close() {}
}
