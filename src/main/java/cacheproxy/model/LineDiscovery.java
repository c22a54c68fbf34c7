package cacheproxy.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A discovery that serves all instances, as the operators' bench was seen to have it: it takes new calls one after
 * another, each at the same cost, keeps so much of them in line and turns the others away at once. A watch that goes on
 * costs nothing.
 */
final class LineDiscovery {
    /** A new call that would wait longer is turned away, in milliseconds. */
    static final double LONGEST_LINE_MS = 3000;

    private static final double ANSWER_MS = 10;

    /** Who called. */
    interface Caller {
        /** The list of this version; nothing is new where the caller holds it. */
        void answered(int call, long version);

        /** The call was turned away, or its connection has ended. */
        void failed(int call);
    }

    private record Call(Caller caller, int number) {}

    /** A call that waits for something newer than the caller holds. */
    private record Watch(Caller caller, int call, long since) {}

    private final VirtualTime time;
    private final double costMs;
    private final Map<Call, Watch> watches = new LinkedHashMap<>();
    private long version = 1;
    private double freeMs;
    private boolean down;
    private boolean silent;
    private int newCalls;
    private int turnedAway;

    LineDiscovery(VirtualTime time, double newCallsPerSecond) {
        this.time = time;
        costMs = 1000 / newCallsPerSecond;
    }

    int newCalls() {
        return newCalls;
    }

    int turnedAway() {
        return turnedAway;
    }

    long version() {
        return version;
    }

    /**
     * A call that waits for changes.
     *
     * @param goesOn whether it follows the last answer at once, on the same connection
     */
    void call(Caller caller, int call, long since, double waitMs, boolean goesOn) {
        if (goesOn) {
            subscribe(new Watch(caller, call, since), time.now() + waitMs);
            return;
        }
        newCalls++;
        double line = Math.max(0, freeMs - time.now());
        if (down || line + costMs > LONGEST_LINE_MS) {
            turnedAway++;
            time.after(ANSWER_MS, () -> caller.failed(call));
            return;
        }
        if (silent) {
            return;
        }
        freeMs = time.now() + line + costMs;
        double until = time.now() + waitMs;
        time.at(freeMs, () -> subscribe(new Watch(caller, call, since), until));
    }

    private void subscribe(Watch watch, double untilMs) {
        if (watch.since() < version) {
            time.after(ANSWER_MS, () -> watch.caller().answered(watch.call(), version));
            return;
        }
        Call key = new Call(watch.caller(), watch.call());
        watches.put(key, watch);
        time.at(Math.max(untilMs, time.now()), () -> {
            if (watches.remove(key, watch)) {
                watch.caller().answered(watch.call(), version);
            }
        });
    }

    /** The caller does not wait for that call any more. */
    void giveUp(Caller caller, int call) {
        watches.remove(new Call(caller, call));
    }

    /** Something has changed, of which all watches are told. */
    void change() {
        version++;
        List<Watch> told = new ArrayList<>(watches.values());
        watches.clear();
        told.forEach(w -> time.after(ANSWER_MS, () -> w.caller().answered(w.call(), version)));
    }

    /** All watches end, and callers are told so. */
    void endWatches() {
        List<Watch> ended = new ArrayList<>(watches.values());
        watches.clear();
        ended.forEach(w -> time.after(ANSWER_MS, () -> w.caller().failed(w.call())));
    }

    /** All watches are forgotten without a word. */
    void forgetWatches() {
        watches.clear();
    }

    /** Turns all calls away, or takes them again. */
    void down(boolean on) {
        down = on;
    }

    /** Takes calls and says nothing, or answers again. */
    void silent(boolean on) {
        silent = on;
    }
}
