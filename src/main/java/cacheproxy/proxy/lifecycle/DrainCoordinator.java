package cacheproxy.proxy.lifecycle;

import cacheproxy.drain.DrainPlan;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.client.ClientAcceptor;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Carries out what {@link DrainStateMachine} decides: reports what is open, closes idle connections, answers what is
 * left at the deadline. On the event loop only.
 */
final class DrainCoordinator {
    private static final long TICK_MS = 20;
    /** Time for the last answers to leave the process, in milliseconds. */
    private static final long FLUSH_MS = 100;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final ClientAcceptor acceptor;
    private final Runnable onDrained;
    private final DrainStateMachine drain = new DrainStateMachine();
    private boolean ticking;
    private boolean listening = true;

    /**
     * Creates a coordinator that serves.
     *
     * @param onDrained run once, when nothing is left and the process may exit
     */
    DrainCoordinator(EventLoop loop, Dispatcher dispatcher, ClientAcceptor acceptor, Runnable onDrained) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.acceptor = acceptor;
        this.onDrained = onDrained;
    }

    DrainStateMachine.StartResult begin(DrainPlan plan) {
        drain.tick(dispatcher.now(), openWork()); // what is open at the beginning is what there is to do
        DrainStateMachine.StartResult begun = drain.begin(dispatcher.now(), plan);
        if (!ticking) {
            ticking = true;
            tick();
        }
        return begun;
    }

    String cancel() {
        String why = drain.cancel();
        if (why == null) {
            dispatcher.drain().set(false, false);
        }
        return why;
    }

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
        DrainStateMachine.Actions orders = drain.tick(now, openWork());
        if (!drain.draining()) {
            ticking = false;
            return;
        }
        dispatcher.drain().set(drain.closesAfterAnswer(now), drain.announced());
        if (listening && !orders.listen()) {
            listening = false;
            acceptor.stopListening();
        }
        acceptor.closeIdle(orders.closeIdle());
        if (orders.answerAll()) {
            dispatcher.completeAll();
            acceptor.closeAll();
        }
        if (orders.exit()) {
            loop.schedule(onDrained, orders.answerAll() ? FLUSH_MS : 0, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
