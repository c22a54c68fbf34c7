package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoint list in use, as discovery sent it, and the version after which to request changes. The version advances
 * only once all changes up to it are in use. On the event loop only.
 */
final class EndpointListCache {
    /** The entries as discovery sent them, by host. */
    private final Map<String, JsonObject> rawEntries = new LinkedHashMap<>();

    private long version;
    /** The highest version that this discovery has sent. */
    private long highestVersion;
    /** Whether changes can't be applied to the list in use, so that a snapshot is needed. */
    private boolean needsSnapshot;

    /** Drops the list, but keeps whether a snapshot is needed. */
    void clear() {
        rawEntries.clear();
        version = 0;
    }

    /** Holds the entries and the version of a list from before the start. */
    void restore(DecodedList list) {
        version = list.version();
        store(list);
    }

    /** Accepts no changes to the list until a snapshot is in use. */
    void requireSnapshot() {
        needsSnapshot = true;
    }

    /** Another discovery is polled from now on; its versions are not comparable to the earlier ones. */
    void onDiscoveryReplaced() {
        highestVersion = 0;
    }

    /** The version of the list in use; 0 if there is none. */
    long version() {
        return version;
    }

    /**
     * The version after which changes are requested; 0, to which discovery responds with a snapshot, if one is needed.
     */
    long pollAfterVersion() {
        return needsSnapshot ? 0 : version;
    }

    /**
     * Whether this list updates the list in use. Changes up to an older version do not: they come from a discovery that
     * has restarted its version numbers, as after a replacement or a loss of its state.
     */
    boolean isUpdatedBy(DecodedList list) {
        return list.snapshot() || (list.version() >= version && !needsSnapshot);
    }

    /**
     * The endpoints to apply for a list: its valid entries and, for a snapshot, the entries held so far of hosts whose
     * new entries are invalid.
     */
    List<DiscoveredEndpoint> merged(EndpointListCodec codec, DecodedList list) {
        if (!list.snapshot() || list.errors().isEmpty()) {
            return list.endpoints();
        }
        List<JsonObject> retained = new ArrayList<>();
        rawEntries.forEach((host, entry) -> {
            if (list.rejectedHosts().contains(host)) {
                retained.add(entry);
            }
        });
        List<DiscoveredEndpoint> endpoints = new ArrayList<>(list.endpoints());
        endpoints.addAll(codec.decode(EndpointListCodec.encodeSnapshot(version, retained))
                .endpoints());
        return endpoints;
    }

    /** Stores the entries of a list that is in use, but not its version, which {@link #confirm} sets. */
    void store(DecodedList list) {
        if (list.snapshot()) {
            rawEntries.keySet().removeIf(host -> !list.rejectedHosts().contains(host));
        }
        list.rawEntries().forEach((host, entry) -> {
            if (EndpointListCodec.isRemoved(entry)) {
                rawEntries.remove(host);
            } else {
                rawEntries.put(host, entry);
            }
        });
    }

    /**
     * Records that all changes up to a version are in use.
     *
     * @return whether it is higher than all versions that this discovery has sent before
     */
    boolean confirm(long newVersion) {
        needsSnapshot = false;
        version = newVersion;
        boolean isNewVersion = version > highestVersion;
        highestVersion = Math.max(highestVersion, version);
        return isNewVersion;
    }

    /** The complete list in use, in discovery's JSON. */
    JsonObject snapshot() {
        return EndpointListCodec.encodeSnapshot(version, rawEntries.values());
    }
}
