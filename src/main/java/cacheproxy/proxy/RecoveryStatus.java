package cacheproxy.proxy;

import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordStore;

/**
 * How far this process has come since its start, and what it keeps; for operators. On the event loop only.
 *
 * @param trust what it works with that it has not seen itself
 * @param progress how far it is; null where it runs without {@code --recovery}
 * @param spread what it carries by what the others do; null likewise
 * @param perSecond requests that it is asked
 * @param opened what it found in its folder; null where it has none
 * @param keeper what it keeps there; null likewise
 * @param folder where; null likewise
 * @param writes whether it alone writes there
 */
public record RecoveryStatus(
        ProvenanceTracker trust,
        RecoveryProgress progress,
        ConnectionRebalancer spread,
        double perSecond,
        OpenedState opened,
        RecordStore keeper,
        String folder,
        boolean writes) {}
