package cacheproxy.proxy.lifecycle;

import cacheproxy.drain.DrainPlan;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.StatePersistence;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.takeover.HandoverStateMachine;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;

/**
 * Ends the instance without losing a request: on SIGTERM or when an operator requests a drain. Once nothing is open it
 * withdraws from the fleet, closes the stored state and lets the process exit. On the event loop but for
 * {@link #terminate}.
 */
final class GracefulShutdown {
    /** New connections may arrive for so long after SIGTERM, in milliseconds; with a margin for a slow machine. */
    private static final double LISTEN_AFTER_SIGTERM_MS = 500;
    /** What an answer may take beyond the longest deadline, in milliseconds. */
    private static final double ANSWER_MARGIN_MS = 150;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final HandoverStateMachine handover;
    private final HandoverServer handoverServer;
    private final FleetParticipation fleet;
    /** Null where nothing is stored. */
    private final StatePersistence statePersistence;

    private final DrainCoordinator drain;
    private final CountDownLatch completed = new CountDownLatch(1);
    private volatile Runnable onCompleted = () -> {};

    /** {@code statePersistence}: null where nothing is stored. */
    GracefulShutdown(
            EventLoop loop,
            Dispatcher dispatcher,
            ClientAcceptor acceptor,
            HandoverStateMachine handover,
            HandoverServer handoverServer,
            FleetParticipation fleet,
            StatePersistence statePersistence) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.handover = handover;
        this.handoverServer = handoverServer;
        this.fleet = fleet;
        this.statePersistence = statePersistence;
        drain = new DrainCoordinator(loop, dispatcher, acceptor, this::complete);
    }

    /** Sets what runs on the event loop once the process may exit. */
    void onCompleted(Runnable action) {
        onCompleted = action;
    }

    /**
     * What SIGTERM starts: goes on accepting connections while they may still arrive, answers every request, closes
     * connections between requests, and returns when none is left or no answer could be in time any more. Waits; not to
     * be called on the event loop.
     */
    void terminate() {
        loop.execute(() -> {
            handover.terminationRequested();
            announceDraining();
            double longestMs = dispatcher.longestDeadlineMs() + ANSWER_MARGIN_MS;
            drain.startDrain(
                    handover.passesClients()
                            ? DrainPlan.onTerminationWithSuccessor(longestMs)
                            : DrainPlan.onTermination(LISTEN_AFTER_SIGTERM_MS, longestMs));
        });
        try {
            completed.await();
            if (statePersistence != null) {
                statePersistence.awaitClosed();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a drain that can be cancelled, or joins the one in progress. */
    DrainStateMachine.StartResult drain(double deadlineMs) {
        announceDraining();
        return drain.startDrain(DrainPlan.requested(deadlineMs));
    }

    /** Cancels a drain; null if that was done, else the reason why it can't be. */
    String cancelDrain() {
        String refusal = drain.cancel();
        if (refusal == null) {
            fleet.announceServing();
        }
        return refusal;
    }

    /** How far a drain has come. */
    DrainStateMachine.Progress drainProgress() {
        return drain.progress();
    }

    /** A successor goes on under this instance's name, so the fleet is told nothing where there is one. */
    private void announceDraining() {
        if (!handover.passesClients()) {
            fleet.announceDraining();
        }
    }

    private void complete() {
        if (handover.passesClients()) {
            dispatcher.log("handover completed: clients_passed=" + handoverServer.passedClients());
        }
        handoverServer.close();
        if (!handover.passesClients()) {
            fleet.leave();
        }
        if (statePersistence != null) {
            statePersistence.close();
        }
        completed.countDown();
        onCompleted.run();
    }
}
