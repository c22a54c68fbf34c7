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
 * Stores what the next process of this instance is to know in its state folder: the endpoint list, what was learned,
 * the incarnation number and zone states, each when it changes or has to be confirmed. {@link RecordStore} decides when
 * they are written, {@link StateFolderWriter} writes them.
 *
 * <p>Event loop only, but for the constructor and {@link #awaitClosed}.
 */
public final class StatePersistence {
    /** How often learned state is stored, and zone states are confirmed. */
    private static final double REFRESH_MS = 5000;
    /** An endpoint list that was confirmed without a change is stored again once the stored one is this old. */
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

    /** Reads the folder; blocks on the disk, so it is not to be called on the event loop. Never fails. */
    public StatePersistence(Path path, String instance, String fleet) {
        folder = new StateFolder(path);
        openedState = folder.read(instance, fleet);
        recordStore = new RecordStore(openedState, instance, fleet);
        writer = new StateFolderWriter(folder, instance, fleet, recordStore);
    }

    /** What the folder held at the start. */
    public OpenedState openedState() {
        return openedState;
    }

    /** Begins to store what this proxy knows. */
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
     * Begins to store what this instance knows of the fleet as well.
     *
     * @param incarnation this instance's incarnation number; 0 for none yet
     * @param zones null where this proxy decides nothing of zones
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

    /** The view of the fleet or zone states may have changed. */
    public void fleetStateChanged() {
        if (dispatcher == null || closed) {
            return;
        }
        long number = incarnation.getAsLong();
        if (number > 0) {
            put(RecordKind.INCARNATION, new JsonPrimitive(number));
        }
        if (zones != null) {
            Map<Integer, StoredZoneState> held = zones.failover().statesToStore();
            putIfChanged(RecordKind.ZONE_STATES, ZoneStateCodec.encode(held, false, zones.zoneNames()));
            putIfChanged(RecordKind.OPERATOR_ORDERS, ZoneStateCodec.encode(held, true, zones.zoneNames()));
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
            JsonElement held = ZoneStateCodec.encode(zones.failover().statesToStore(), false, zones.zoneNames());
            if (held.getAsJsonObject().size() > 0) {
                put(RecordKind.ZONE_STATES, held); // confirmed: it is valid as of now
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

    /** Stores all of it a last time and releases the folder; does not wait for that. */
    public void close() {
        if (closed) {
            return;
        }
        fleetStateChanged();
        put(RecordKind.LEARNED_STATE, LearnedStateCodec.toJson(dispatcher.learnedState()));
        closed = true;
        writer.close();
    }

    /** Waits for the final write within bounds; not to be called on the event loop. */
    public void awaitClosed() {
        writer.awaitClosed();
    }

    /** The records, for the status. */
    public RecordStore recordStore() {
        return recordStore;
    }

    /** Whether this process alone writes to the folder. */
    public boolean hasLock() {
        return writer.hasLock();
    }

    /** The folder's path. */
    public Path path() {
        return folder.path();
    }
}
