package cacheproxy.proxy.lifecycle;

import cacheproxy.drain.DrainPlan;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.proxy.transport.InputBarrier;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Carries out what {@link DrainStateMachine} decides: reports the open work to it, closes idle connections, and answers
 * the remaining requests at the deadline. On the event loop only.
 */
final class DrainCoordinator {
    private static final long TICK_MS = 20;
    /** Delay before the exit, so that the last answers are flushed to the network, in milliseconds. */
    private static final long FLUSH_MS = 100;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final ClientAcceptor acceptor;
    private final Runnable onDrained;
    private final DrainStateMachine drain = new DrainStateMachine();
    private boolean ticking;
    private boolean listening = true;

    /**
     * Creates a coordinator without a drain in progress.
     *
     * @param onDrained run once, when no work is left and the process may exit
     */
    DrainCoordinator(EventLoop loop, Dispatcher dispatcher, ClientAcceptor acceptor, Runnable onDrained) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.acceptor = acceptor;
        this.onDrained = onDrained;
    }

    /** Starts a drain or joins the one in progress. */
    DrainStateMachine.StartResult startDrain(DrainPlan plan) {
        drain.tick(dispatcher.now(), openWork()); // the work open at the start is what progress is measured against
        DrainStateMachine.StartResult result = drain.startDrain(dispatcher.now(), plan);
        if (!ticking) {
            ticking = true;
            tick();
        }
        return result;
    }

    /** Cancels the drain; returns null on success, else the reason why it can't be cancelled. */
    String cancel() {
        String refusal = drain.cancel();
        if (refusal == null) {
            dispatcher.drain().set(false, false);
        }
        return refusal;
    }

    /** How far the drain has come. */
    DrainStateMachine.Progress progress() {
        return drain.progress(dispatcher.now());
    }

    private DrainStateMachine.OpenWork openWork() {
        return new DrainStateMachine.OpenWork(
                dispatcher.openRequests(),
                acceptor.openConnections(),
                acceptor.idleConnections(),
                dispatcher.completedRequests());
    }

    private void tick() {
        double now = dispatcher.now();
        DrainStateMachine.Actions actions = drain.tick(now, openWork());
        if (!drain.draining()) {
            ticking = false;
            return;
        }
        dispatcher.drain().set(drain.closesAfterAnswer(now), drain.announced());
        if (listening && !actions.listen()) {
            listening = false;
            acceptor.stopListening();
        }
        acceptor.closeIdle(actions.closeIdle());
        if (actions.answerAll()) {
            dispatcher.completeAll();
            acceptor.closeAll();
        }
        if (actions.exit()) {
            loop.schedule(onDrained, actions.answerAll() ? FLUSH_MS : 0, TimeUnit.MILLISECONDS);
        } else {
            InputBarrier.afterDelayAndInput(loop, this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
