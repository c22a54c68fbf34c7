package cacheproxy.proxy;

import cacheproxy.drain.DrainPlan;
import cacheproxy.drain.DrainStateMachine;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Carries the orders of {@link DrainStateMachine} out: tells it what is open, ends connections, answers what is left.
 */
final class Drainer {
    private static final long STEP_MS = 20;
    /** For last answers to leave the process. */
    private static final long FLUSH_MS = 100;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final Acceptor acceptor;
    private final Runnable ended;
    private final DrainStateMachine drain = new DrainStateMachine();
    private boolean ticking;
    private boolean listening = true;

    /** {@code ended}: told once, when nothing is left and the process may end. */
    Drainer(EventLoop loop, Dispatcher dispatcher, Acceptor acceptor, Runnable ended) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.acceptor = acceptor;
        this.ended = ended;
    }

    DrainStateMachine.StartResult begin(DrainPlan plan) {
        drain.tick(dispatcher.now(), counts()); // what is open at the beginning is what there is to do
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

    private DrainStateMachine.OpenWork counts() {
        return new DrainStateMachine.OpenWork(
                dispatcher.openRequests(), acceptor.open(), acceptor.idle(), dispatcher.completedRequests());
    }

    private void tick() {
        double now = dispatcher.now();
        DrainStateMachine.Actions orders = drain.tick(now, counts());
        if (!drain.draining()) {
            ticking = false;
            return;
        }
        dispatcher.drain().set(drain.closesAfterAnswer(now), drain.announced());
        if (listening && !orders.listen()) {
            listening = false;
            acceptor.stopListening();
        }
        acceptor.endIdle(orders.closeIdle());
        if (orders.answerAll()) {
            dispatcher.completeAll();
            acceptor.endAll();
        }
        if (orders.exit()) {
            loop.schedule(ended, orders.answerAll() ? FLUSH_MS : 0, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(this::tick, STEP_MS, TimeUnit.MILLISECONDS);
        }
    }
}
