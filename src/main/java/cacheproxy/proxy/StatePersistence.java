package cacheproxy.proxy;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.state.Finding;
import cacheproxy.state.Finding.Severity;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordKind;
import cacheproxy.state.RecordStore;
import cacheproxy.state.StateFolder;
import cacheproxy.state.StoredRecord;
import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Stores state for the next process of this instance in the state folder: the endpoint list, learned state, the
 * incarnation number and zone states, each when it changes or its time has to be refreshed. {@link RecordStore} decides
 * when they are written, and {@link StateFolderWriter} writes them.
 *
 * <p>Event loop only, except for the constructor and {@link #awaitClosed}.
 */
public final class StatePersistence {
    /** The interval at which learned state is stored and zone states are refreshed. */
    private static final double REFRESH_MS = 5000;
    /** An endpoint list that discovery confirms unchanged is stored again if the stored one is older than this. */
    private static final double LIST_REFRESH_MS = 20_000;

    private static final double MS_PER_SECOND = 1000;

    private final StateFolder folder;
    private final OpenedState openedState;
    private final RecordStore recordStore;
    private final StateFolderWriter writer;
    private Dispatcher dispatcher;
    private DiscoveryClient discovery;
    private LongSupplier incarnation = () -> 0;
    private ZoneFailoverCoordinator zones;
    private boolean closed;

    /**
     * Reads the folder; blocks on the disk, so not to be called on the event loop. Problems are findings, not thrown.
     */
    public StatePersistence(Path path, String instance, String fleet) {
        folder = new StateFolder(path);
        openedState = folder.read(instance, fleet);
        recordStore = new RecordStore(openedState, instance, fleet);
        writer = new StateFolderWriter(folder, instance, fleet, recordStore);
    }

    /** The content of the folder at the start. */
    public OpenedState openedState() {
        return openedState;
    }

    /** Starts to store this instance's endpoint list and learned state. */
    public void start(Dispatcher dispatcher, DiscoveryClient discovery) {
        this.dispatcher = dispatcher;
        this.discovery = discovery;
        writer.start(dispatcher);
        logOpenedState();
        dispatcher.addEndpointListListener(this::endpointListChanged);
        refresh();
    }

    private void logOpenedState() {
        for (Finding finding : openedState.findings()) {
            if (finding.severity() != Severity.HARMLESS) {
                dispatcher.log("state: " + finding + ", folder=" + folder.path());
            }
        }
        if (!openedState.records().isEmpty()) {
            double nowMs = dispatcher.now();
            dispatcher.log("state: found "
                    + openedState.records().values().stream()
                            .sorted(Comparator.comparing(StoredRecord::kind))
                            .map(r -> logText(r, nowMs))
                            .collect(Collectors.joining(", ")));
        }
    }

    private static String logText(StoredRecord record, double nowMs) {
        return String.format(
                Locale.ROOT,
                "%s age_s=%.1f use=%s",
                record.kind().wireName(),
                (nowMs - record.recordedAtMs()) / MS_PER_SECOND,
                record.validity(nowMs).wireName());
    }

    /**
     * Starts to store the state of the fleet as well.
     *
     * @param incarnation supplies this instance's incarnation number; 0 for none yet
     * @param zones null if this instance does not take part in zone failover
     */
    public void persistFleetState(LongSupplier incarnation, ZoneFailoverCoordinator zones) {
        this.incarnation = incarnation;
        this.zones = zones;
        fleetStateChanged();
    }

    private void endpointListChanged(EndpointUpdateKind kind) {
        if (kind == EndpointUpdateKind.SNAPSHOT || kind == EndpointUpdateKind.DELTA) {
            JsonElement list = discovery.snapshot();
            StoredRecord stored = recordStore.get(RecordKind.ENDPOINT_LIST);
            if (stored == null
                    || !stored.body().equals(list)
                    || dispatcher.now() - stored.recordedAtMs() > LIST_REFRESH_MS) {
                put(RecordKind.ENDPOINT_LIST, list);
            }
        }
    }

    /** The membership view or zone states may have changed. */
    public void fleetStateChanged() {
        if (dispatcher == null || closed) {
            return;
        }
        long number = incarnation.getAsLong();
        if (number > 0) {
            put(RecordKind.INCARNATION, new JsonPrimitive(number));
        }
        if (zones != null) {
            Map<Integer, StoredZoneState> states = zones.failover().statesToStore();
            putIfChanged(RecordKind.ZONE_STATES, ZoneStateCodec.encode(states, false, zones.zoneNames()));
            putIfChanged(RecordKind.OPERATOR_ORDERS, ZoneStateCodec.encode(states, true, zones.zoneNames()));
        }
    }

    private void putIfChanged(RecordKind kind, JsonElement body) {
        StoredRecord stored = recordStore.get(kind);
        boolean changed = stored == null
                ? body.getAsJsonObject().size() > 0
                : !stored.body().equals(body);
        if (changed) {
            put(kind, body);
        }
    }

    private void refresh() {
        if (closed) {
            return;
        }
        put(RecordKind.LEARNED_STATE, LearnedStateCodec.toJson(dispatcher.learnedState()));
        if (zones != null && zones.failover().hasQuorum()) {
            JsonElement states = ZoneStateCodec.encode(zones.failover().statesToStore(), false, zones.zoneNames());
            if (states.getAsJsonObject().size() > 0) {
                put(RecordKind.ZONE_STATES, states); // with a quorum they are confirmed as of now
            }
        }
        dispatcher.after(REFRESH_MS, this::refresh);
    }

    private void put(RecordKind kind, JsonElement body) {
        if (!closed) {
            recordStore.put(StateFolderWriter.nowMs(), new StoredRecord(kind, dispatcher.now(), body));
            writer.writeDue();
        }
    }

    /** Starts a final write of all state, which then releases the folder; does not wait for it. */
    public void close() {
        if (closed) {
            return;
        }
        fleetStateChanged();
        put(RecordKind.LEARNED_STATE, LearnedStateCodec.toJson(dispatcher.learnedState()));
        closed = true;
        writer.close();
    }

    /** Waits for the final write, for a limited time; not to be called on the event loop. */
    public void awaitClosed() {
        writer.awaitClosed();
    }

    /** The records, for reports of the status. */
    public RecordStore recordStore() {
        return recordStore;
    }

    /** Whether this process holds the folder's lock, so that no other process writes to it. */
    public boolean hasLock() {
        return writer.hasLock();
    }

    /** The folder's path. */
    public Path path() {
        return folder.path();
    }
}
