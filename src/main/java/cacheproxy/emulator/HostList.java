package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's versioned host list: each host's entry and the version of its last change. */
final class HostList {
    /** {@code addresses}: the address that each proxy connects to, by proxy number. */
    record Host(String name, List<String> addresses, String site, String kind, int block, Health health, long bornMs) {
        Host with(Health other) {
            return new Host(name, addresses, site, kind, block, other, bornMs);
        }

        Host born(long ms) {
            return new Host(name, addresses, site, kind, block, Health.UP, ms);
        }
    }

    /** A host's listed state. */
    enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    private record Entry(Host host, long seq) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long seq = 1;

    /** Adds or updates a host. */
    void put(Host host) {
        entries.put(host.name(), new Entry(host, ++seq));
    }

    void health(String name, Health health) {
        Entry e = entries.get(name);
        if (e != null && e.host().health() != health) {
            put(e.host().with(health));
        }
    }

    Host get(String name) {
        Entry e = entries.get(name);
        return e == null ? null : e.host();
    }

    long seq() {
        return seq;
    }

    /** Restarts the version numbers, with all entries as new changes. */
    void renumber() {
        seq = 1;
        entries.replaceAll((name, entry) -> new Entry(entry.host(), ++seq));
    }

    /** All hosts that are not removed. */
    List<Host> whole() {
        List<Host> hosts = new ArrayList<>();
        entries.values().forEach(e -> {
            if (e.host().health() != Health.REMOVED) {
                hosts.add(e.host());
            }
        });
        return hosts;
    }

    /** The hosts that have changed since that version, including removed ones. */
    List<Host> since(long version) {
        List<Host> hosts = new ArrayList<>();
        entries.values().forEach(e -> {
            if (e.seq() > version) {
                hosts.add(e.host());
            }
        });
        return hosts;
    }
}
