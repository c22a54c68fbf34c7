package cacheproxy.proxy;

import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;

/**
 * How far this process has come since its start, and what it keeps; for operators. On the event loop only.
 *
 * @param provenance what it works with that it has not seen itself
 * @param progress how far it is; null where it runs without {@code --recovery}
 * @param rebalancer what it carries by what the others do; null likewise
 * @param requestsPerSecond requests that it is asked
 * @param openedState what it found in its folder; null where it has none
 * @param recordStore what it keeps there; null likewise
 * @param folder where; null likewise
 * @param writable whether it alone writes there
 */
public record RecoveryStatus(
        ProvenanceTracker provenance,
        RecoveryProgress progress,
        ConnectionRebalancer rebalancer,
        double requestsPerSecond,
        OpenedState openedState,
        RecordStore recordStore,
        String folder,
        boolean writable) {}
