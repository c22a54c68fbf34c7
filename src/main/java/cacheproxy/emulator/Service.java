package cacheproxy.emulator;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** Drives a {@link ServiceModel} in real time and runs each job's callback on completion. Event loop only. */
final class Service {
    private final EmulatedFleet fleet;
    private final ServiceModel<Runnable> model;
    private final DoubleSupplier speed;
    private Future<?> timer;
    private double timerMs = Double.POSITIVE_INFINITY;

    /** {@code speed}: returns the current speed. */
    Service(EmulatedFleet fleet, ServiceModel<Runnable> model, DoubleSupplier speed) {
        this.fleet = fleet;
        this.model = model;
        this.speed = speed;
    }

    /** Queues work, in milliseconds at speed 1, with its completion callback; false if the queue is full. */
    boolean offer(Runnable done, double workMs) {
        boolean taken = model.offer(fleet.now(), done, workMs, speed.getAsDouble());
        arm();
        return taken;
    }

    void stall(double ms) {
        model.stall(fleet.now(), ms);
        arm();
    }

    void clear() {
        model.clear();
        arm();
    }

    private void arm() {
        double finish = model.finishMs();
        if (finish == timerMs) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerMs = finish;
        timer = finish == Double.POSITIVE_INFINITY
                ? null
                : fleet.loop()
                        .schedule(
                                this::advance, (long) (Math.max(0, finish - fleet.now()) * 1e6), TimeUnit.NANOSECONDS);
    }

    private void advance() {
        timerMs = Double.POSITIVE_INFINITY;
        timer = null;
        model.advance(fleet.now(), speed.getAsDouble()).forEach(Runnable::run);
        arm();
    }
}
