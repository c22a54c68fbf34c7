package cacheproxy.model;

import java.util.SplittableRandom;

/** Delays and faults between zones. Zones are numbered from 0; delays are one-way, in milliseconds. */
final class Network {
    private static final double JITTER = 0.2;

    private final double sameMs;
    private final double crossMs;
    private final SplittableRandom random;
    private int cutZone = -1;
    private double lost;

    Network(FleetDraw draw, SplittableRandom random) {
        sameMs = draw.sameMs();
        crossMs = draw.crossMs();
        this.random = random;
    }

    double delayMs(int from, int to) {
        return (from == to ? sameMs : crossMs) * (1 - JITTER + 2 * JITTER * random.nextDouble());
    }

    /** Partitions this zone from the others; -1 heals the partition. */
    void cut(int zone) {
        cutZone = zone;
    }

    boolean passes(int from, int to) {
        return from == to || (from != cutZone && to != cutZone);
    }

    /** Loses this share of the responses from nodes. */
    void lose(double part) {
        lost = part;
    }

    boolean losesAnswer() {
        return lost > 0 && random.nextDouble() < lost;
    }
}
