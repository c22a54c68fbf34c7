package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's list: what each host is said to be, and since which version. */
final class HostList {
    /** {@code addresses}: where each proxy dials it, in their order. */
    record Host(String name, List<String> addresses, String site, String kind, int block, Health health, long bornMs) {
        Host with(Health other) {
            return new Host(name, addresses, site, kind, block, other, bornMs);
        }

        Host born(long ms) {
            return new Host(name, addresses, site, kind, block, Health.UP, ms);
        }
    }

    /** What the list says of a host. */
    enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    private record Entry(Host host, long seq) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long seq = 1;

    /** Adds or changes a host. */
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

    /** Numbers its versions from the beginning, as if all of it were news. */
    void renumber() {
        seq = 1;
        entries.replaceAll((name, entry) -> new Entry(entry.host(), ++seq));
    }

    /** All hosts that are not gone. */
    List<Host> whole() {
        List<Host> hosts = new ArrayList<>();
        entries.values().forEach(e -> {
            if (e.host().health() != Health.REMOVED) {
                hosts.add(e.host());
            }
        });
        return hosts;
    }

    /** What has changed since that version, the removed among it. */
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
