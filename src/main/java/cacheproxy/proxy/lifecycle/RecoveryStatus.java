package cacheproxy.proxy.lifecycle;

import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;

/**
 * How far this process has come since its start, and what it stores; for operators. On the event loop only.
 *
 * @param provenance which data it uses that it has not seen itself
 * @param progress how far it is; null without {@code --recovery}
 * @param rebalancer how its load compares with that of the other instances; null likewise
 * @param requestsPerSecond that it receives
 * @param openedState what it found in its folder; null without one
 * @param recordStore what it stores there; null likewise
 * @param folder the folder's path; null likewise
 * @param writable whether it holds the lock and so is the only one that writes there
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
