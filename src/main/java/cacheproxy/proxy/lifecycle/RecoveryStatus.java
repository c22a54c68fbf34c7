package cacheproxy.proxy.lifecycle;

import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;

/**
 * How far recovery of this process is and what it stores, for operators. Event loop only.
 *
 * @param provenance where the state came from that it has not observed itself
 * @param progress its stage; null where it runs without {@code --recovery}
 * @param rebalancer its load by that of the others; null likewise
 * @param requestsPerSecond requests that it receives
 * @param openedState what its state folder held at the start; null where it has none
 * @param recordStore what it stores there; null likewise
 * @param folder the folder's path; null likewise
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
