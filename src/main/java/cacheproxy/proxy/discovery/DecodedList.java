package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An answer of discovery: the complete list, or the entries that have changed since a version.
 *
 * @param version of the list, 0 to 2 to the power of 53
 * @param snapshot whether it names all endpoints, so that those it does not name are gone
 * @param endpoints the entries that can be used
 * @param rawEntries the same entries as discovery sent them, by host
 * @param rejectedHosts hosts none of whose entries can be used
 * @param errors what is wrong, for people, a line for each entry that can't be used
 */
record DecodedList(
        long version,
        boolean snapshot,
        List<DiscoveredEndpoint> endpoints,
        Map<String, JsonObject> rawEntries,
        Set<String> rejectedHosts,
        List<String> errors) {}
