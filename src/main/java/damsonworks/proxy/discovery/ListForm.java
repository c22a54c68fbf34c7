package damsonworks.proxy.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.State;
import damsonworks.route.Pool;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * The form in which discovery tells of servers.
 *
 * @param zones the sites that an entry may name, by whose places here the decision module knows them
 * @param kinds the kinds of machine that it may name, likewise
 */
public record ListForm(List<String> zones, List<String> kinds) {
    private static final int MAX_LABELS = 64;

    /** A name as the settings word it, where a list stands on one line. */
    public static String word(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }

    /** The hosts of a list; an exception says what is wrong with one. */
    public List<Host> hosts(JsonObject json) {
        List<Host> hosts = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        Map<String, Integer> zoneNumbers = numbers(zones);
        Map<String, Integer> kindNumbers = numbers(kinds);
        for (JsonElement e : json.getAsJsonArray("hosts")) {
            Host h = host(e.getAsJsonObject(), zoneNumbers, kindNumbers);
            if (!ids.add(h.member().id())) {
                throw new IllegalArgumentException("a host is listed twice");
            }
            hosts.add(h);
        }
        return hosts;
    }

    /** The places of words in a list, by the words: a search for each host would take the product of both. */
    private static Map<String, Integer> numbers(List<String> words) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < words.size(); i++) {
            numbers.putIfAbsent(words.get(i), i);
        }
        return numbers;
    }

    private Host host(JsonObject h, Map<String, Integer> zoneNumbers, Map<String, Integer> kindNumbers) {
        String name = h.get("host").getAsString();
        State state = switch (h.get("health").getAsString()) {
            case "up" -> State.READY;
            case "draining" -> State.DRAINING;
            case "removed" -> State.GONE;
            default -> throw new IllegalArgumentException("host " + name + ": unknown health");
        };
        int zone = zoneNumbers.getOrDefault(word(h.get("site").getAsString()), -1);
        int kind = kindNumbers.getOrDefault(word(h.get("class").getAsString()), -1);
        float weight = h.has("share") ? h.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new IllegalArgumentException("host " + name + ": unknown site or class, or bad share");
        }
        double born = h.has("born_ms") ? h.get("born_ms").getAsDouble() : 0;
        int cell = h.has("block") ? h.get("block").getAsInt() : 0;
        return new Host(
                new Member(id(name), zone, kind, cell, state, weight, born),
                Addresses.parse(h.get("dial").getAsString()),
                new Pool.Server(name, zones.get(zone), kinds.get(kind), labels(name, h)));
    }

    /** Words that installations may put on their servers for pools to select by; most have none. */
    private static Set<String> labels(String name, JsonObject h) {
        if (!h.has("labels")) {
            return Set.of();
        }
        Set<String> labels = new HashSet<>();
        h.getAsJsonArray("labels").forEach(l -> labels.add(l.getAsString()));
        if (labels.size() > MAX_LABELS) {
            throw new IllegalArgumentException("host " + name + ": more than " + MAX_LABELS + " labels");
        }
        return labels;
    }

    /** The number that stands for a host in hashes, the same at all instances. */
    static int id(String name) {
        String digits = name.substring(name.lastIndexOf('-') + 1);
        try {
            if (digits.length() <= 8) {
                return Integer.parseUnsignedInt(digits, 16);
            }
        } catch (NumberFormatException e) {
            // not of that form
        }
        CRC32 sum = new CRC32();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) sum.getValue();
    }
}
