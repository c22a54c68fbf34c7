package cacheproxy.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A discovery service for all instances, modelled on the one observed at the operators' bench: it serves new calls one
 * after another at equal cost, queues a limited number and rejects the others at once. Continuing a watch costs
 * nothing.
 */
final class LineDiscovery {
    /** A new call that would take longer than this, in milliseconds, is rejected. */
    static final double LONGEST_LINE_MS = 3000;

    private static final double ANSWER_MS = 10;

    /** The caller, which receives the result. */
    interface Caller {
        /** The list of this version; unchanged if the caller already holds it. */
        void answered(int call, long version);

        /** The call was rejected, or its connection was closed. */
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
     * A long-poll call.
     *
     * @param goesOn whether it follows the last response at once, on the same connection
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

    /** The caller abandons the call. */
    void giveUp(Caller caller, int call) {
        watches.remove(new Call(caller, call));
    }

    /** Raises the version and answers all watches. */
    void change() {
        version++;
        List<Watch> told = new ArrayList<>(watches.values());
        watches.clear();
        told.forEach(w -> time.after(ANSWER_MS, () -> w.caller().answered(w.call(), version)));
    }

    /** Ends all watches; their callers are notified. */
    void endWatches() {
        List<Watch> ended = new ArrayList<>(watches.values());
        watches.clear();
        ended.forEach(w -> time.after(ANSWER_MS, () -> w.caller().failed(w.call())));
    }

    /** Drops all watches without notifying their callers. */
    void forgetWatches() {
        watches.clear();
    }

    /** Rejects new calls, or accepts them again. */
    void down(boolean on) {
        down = on;
    }

    /** Accepts new calls without responding, or responds again. */
    void silent(boolean on) {
        silent = on;
    }
}
