package cacheproxy.quota;

import java.util.ArrayList;
import java.util.List;

/** A log of all counted amounts, to find the largest sum in any window. */
public final class ExactLog {
    private record Counted(double at, long amount) {}

    private final List<Counted> all = new ArrayList<>();

    /** Adds an amount; the time must not be before that of the last one. */
    public void add(double atMs, long amount) {
        all.add(new Counted(atMs, amount));
    }

    /** The largest sum in any window of that length, wherever it begins. */
    public long fullest(long windowMs) {
        long most = 0;
        long sum = 0;
        int from = 0;
        for (Counted c : all) {
            sum += c.amount;
            for (; all.get(from).at <= c.at - windowMs; from++) {
                sum -= all.get(from).amount;
            }
            most = Math.max(most, sum);
        }
        return most;
    }
}
