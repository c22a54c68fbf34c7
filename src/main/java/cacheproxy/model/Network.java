package cacheproxy.model;

import java.util.SplittableRandom;

/** Delays between zones, and what is wrong between them. Zones are numbered from 0; times in milliseconds, one way. */
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

    /** Nothing passes between this zone and the others; -1: everything does. */
    void cut(int zone) {
        cutZone = zone;
    }

    boolean passes(int from, int to) {
        return from == to || (from != cutZone && to != cutZone);
    }

    /** This part of the answers on their way back from nodes is lost. */
    void lose(double part) {
        lost = part;
    }

    boolean losesAnswer() {
        return lost > 0 && random.nextDouble() < lost;
    }
}
