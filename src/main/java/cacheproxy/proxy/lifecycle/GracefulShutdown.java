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
 * Shuts the instance down without losing a request, on SIGTERM or when an operator requests a drain. Once no work is
 * open it leaves the fleet, closes the state folder and lets the process exit. On the event loop except for
 * {@link #terminate}.
 */
final class GracefulShutdown {
    /** How long new connections may still arrive after SIGTERM, in milliseconds, with a margin for a slow machine. */
    private static final double LISTEN_AFTER_SIGTERM_MS = 500;
    /** How long an answer may take beyond the longest request deadline, in milliseconds. */
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
     * Handles SIGTERM: keeps accepting connections while they may still arrive, answers every request, closes
     * connections between requests, and returns when no request is left or no answer could be in time any more. Blocks,
     * so it must not be called on the event loop.
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

    /** Cancels a drain; returns null on success, else the reason why it can't be cancelled. */
    String cancelDrain() {
        String refusal = drain.cancel();
        if (refusal == null) {
            fleet.announceServing();
        }
        return refusal;
    }

    /** The progress of a drain. */
    DrainStateMachine.Progress drainProgress() {
        return drain.progress();
    }

    /** A successor takes over this instance's identity, so nothing is announced to the fleet if there is one. */
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
