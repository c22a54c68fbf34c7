package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A decoded response of discovery: the complete list, or the entries that have changed since a version.
 *
 * @param version version of the list, from 0 to 2^53
 * @param snapshot whether the list is complete, so that endpoints that it does not name are gone
 * @param endpoints the valid entries
 * @param rawEntries the same entries as discovery sent them, by host
 * @param rejectedHosts hosts without any valid entry
 * @param errors a human-readable message for each invalid entry
 */
record DecodedList(
        long version,
        boolean snapshot,
        List<DiscoveredEndpoint> endpoints,
        Map<String, JsonObject> rawEntries,
        Set<String> rejectedHosts,
        List<String> errors) {}
