package cacheproxy.proxy.lifecycle;

import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;

/**
 * The recovery progress of this process and its stored state, for operators. On the event loop only.
 *
 * @param provenance the sources of the state that this process has not observed itself
 * @param progress the stage of recovery; null without {@code --recovery}
 * @param rebalancer compares its load with that of the other instances; null without {@code --recovery}
 * @param requestsPerSecond requests that it receives
 * @param openedState what its state folder held at the start; null without a state folder
 * @param recordStore what it stores there; null without a state folder
 * @param folder the path of the state folder; null if there is none
 * @param writable whether this process holds the folder's lock, so that it alone writes there
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
