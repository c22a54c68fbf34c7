package cacheproxy.quota;

import java.util.ArrayList;
import java.util.List;

/** All that was counted, for the fullest window of it. */
public final class ExactLog {
    private record Counted(double at, long amount) {}

    private final List<Counted> all = new ArrayList<>();

    /** So much was counted at that time, not before what was last. */
    public void add(double atMs, long amount) {
        all.add(new Counted(atMs, amount));
    }

    /** The most that lies in any window of that length, wherever it begins. */
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
