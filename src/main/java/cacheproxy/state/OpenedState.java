package cacheproxy.state;

import java.util.List;
import java.util.Map;

/**
 * The intact content of a state folder, and the problems found in it.
 *
 * @param header the latest header; null if none could be read or the folder can't be used
 * @param records the intact records of this instance
 * @param findings the problems, in the order in which the files were read
 */
public record OpenedState(StateFileHeader header, Map<RecordKind, StoredRecord> records, List<Finding> findings) {
    /** The content of an empty folder. */
    public static final OpenedState EMPTY = new OpenedState(null, Map.of(), List.of());
}
