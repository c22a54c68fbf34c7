package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoint list that is in use, as discovery sent it, and from which version on to ask for changes. The version
 * moves on only once all changes up to it are in use. On the event loop only.
 */
final class EndpointListCache {
    /** The entries as discovery sent them, by host. */
    private final Map<String, JsonObject> rawEntries = new LinkedHashMap<>();

    private long version;
    /** The highest version that this discovery has sent. */
    private long highestVersion;
    /** Whether the list in use can't be built on, so that only a snapshot is of use. */
    private boolean needsSnapshot;

    /** Drops the list; whether a snapshot is needed stays. */
    void clear() {
        rawEntries.clear();
        version = 0;
    }

    /** Takes a list from before the start in place of whatever is held. */
    void restore(DecodedList list) {
        version = list.version();
        store(list);
    }

    /** From now on the list can't be built on, until a snapshot is in use. */
    void requireSnapshot() {
        needsSnapshot = true;
    }

    /** Another discovery is polled from now on: its versions are not comparable to those before. */
    void onDiscoveryReplaced() {
        highestVersion = 0;
    }

    /** The version of the list in use; 0 if there is none. */
    long version() {
        return version;
    }

    /**
     * The version after which changes are to be requested; 0, on which discovery sends a snapshot, if one is needed.
     */
    long pollAfterVersion() {
        return needsSnapshot ? 0 : version;
    }

    /**
     * Whether the list in use can be brought to the version of this one. Changes up to an older version come of a
     * discovery that numbers its versions anew, as one may that was replaced or has lost its memory.
     */
    boolean isUpdatedBy(DecodedList list) {
        return list.snapshot() || (list.version() >= version && !needsSnapshot);
    }

    /**
     * What to use of a list: its own entries, and of a snapshot also those held of hosts whose entries are unusable.
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

    /** Holds the entries of a list that is in use; its version is not confirmed yet. */
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
     * All changes up to a version are in use.
     *
     * @return whether it is higher than all that this discovery has sent before
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
