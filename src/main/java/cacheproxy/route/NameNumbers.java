package cacheproxy.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The numbers, from 1, that a route table assigns to the names in its routes. */
final class NameNumbers {
    /** Stands for any name, and for a name that no route uses. */
    static final int ANY = 0;

    private final Map<String, Integer> numbers = new HashMap<>();

    /** Numbers the names of these sets. */
    NameNumbers(Collection<Set<String>> nameSets) {
        for (Set<String> names : nameSets) {
            names.stream().sorted().forEach(name -> numbers.putIfAbsent(name, numbers.size() + 1));
        }
    }

    /** The numbers of these names, by their index. */
    int[] byIndex(List<String> names) {
        return names.stream().mapToInt(name -> numbers.getOrDefault(name, ANY)).toArray();
    }

    /** The numbers of the names of a condition; {@link #ANY} alone if it is empty. */
    int[] ofCondition(Set<String> names) {
        return names.isEmpty()
                ? new int[] {ANY}
                : names.stream().mapToInt(numbers::get).toArray();
    }
}
