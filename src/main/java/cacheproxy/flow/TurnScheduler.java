package cacheproxy.flow;

/**
 * Shares the turns of an event loop between sources of work, by what the work costs, so that a source with much work
 * delays the others by a bounded time. A deficit round robin (Shreedhar and Varghese, 1995) with priority for sources
 * that have not worked in the turn, as in FQ-CoDel (RFC 8290). Pure; costs are microseconds of the loop's time, as
 * measured by the caller.
 *
 * <p>A turn is one iteration of the loop and has two phases: sources work as their input arrives, then those that wait
 * are served in order. Each phase has a budget, and each source has a quantum of both together. What a source uses
 * beyond its quantum is taken from its next turns, and what other work costs from the budgets of the next phases.
 * Sources of requests and sources of responses are served alternately, so that responses, which end work, do not wait
 * behind all the requests that would begin more.
 *
 * @param <T> what identifies a source to the caller
 */
public final class TurnScheduler<T> {
    /** The cost after which no further source begins to work in a phase; short compared with any deadline. */
    static final int PHASE_COST = 2000;
    /** The cost after which a source has to wait for the next turn. */
    static final int QUANTUM = 100;

    /**
     * The most turns that a source, or all together, may owe: a process that was stopped in a piece of work owes no
     * more.
     */
    static final int MAX_OWED_TURNS = 10;

    private final TurnQueue<T> requests = new TurnQueue<>();
    private final TurnQueue<T> responses = new TurnQueue<>();
    /** Whether a source of responses is served next if one waits. */
    private boolean responsesNext;

    private long turn = 1;
    private int phaseCost;
    /** The cost of work outside of the phases that has not been taken from their budgets. */
    private int deferredCost;

    /** A source of work. Used with the scheduler that created it. */
    public static final class Source<T> {
        private final T owner;
        private final int quantum;
        private final TurnQueue<T> queue;
        /** The turn to which {@link #cost} belongs; while it waits, that in which it began to. */
        private long turn;
        /** What it has used in that turn. */
        private int cost;
        /** The turn in which it was last served from a queue. */
        private long servedTurn;

        private boolean waiting;

        private Source(T owner, int weight, TurnQueue<T> queue) {
            this.owner = owner;
            quantum = weight * QUANTUM;
            this.queue = queue;
        }

        boolean wasServedIn(long someTurn) {
            return servedTurn == someTurn;
        }
    }

    /** Creates a source of requests, which does not wait; its quantum is {@code weight} times the usual one. */
    public Source<T> newSource(T owner, int weight) {
        return new Source<>(owner, weight, requests);
    }

    /** Creates a source of responses, as above. */
    public Source<T> newResponseSource(T owner, int weight) {
        return new Source<>(owner, weight, responses);
    }

    /**
     * Whether the source may do the next piece of its work now; otherwise it has to wait for its turn. One that is
     * served from the queue may use its whole quantum.
     */
    public boolean mayWork(Source<T> source) {
        boolean inBudget = phaseCost < PHASE_COST || source.servedTurn == turn;
        return !source.waiting && inBudget && costInTurn(source) < source.quantum;
    }

    /** Records what a piece of the source's work costs; 0 or more. */
    public void charge(Source<T> source, int cost) {
        chargeSource(source, cost);
        phaseCost += cost;
    }

    /** Records the cost of work in a phase that is nobody's own, as reading what has arrived; 0 or more. */
    public void chargePhase(int cost) {
        phaseCost += cost;
    }

    private void chargeSource(Source<T> source, int cost) {
        source.cost = Math.min(costInTurn(source) + cost, MAX_OWED_TURNS * source.quantum);
        source.turn = source.waiting ? source.turn : turn;
    }

    /** Records the cost of the source's work outside of the phases. */
    public void chargeDeferred(Source<T> source, int cost) {
        chargeSource(source, cost);
        chargeDeferred(cost);
    }

    /** Records the cost of work that sources brought about but that ran outside of the phases. */
    public void chargeDeferred(int cost) {
        deferredCost = Math.min(deferredCost + cost, MAX_OWED_TURNS * PHASE_COST);
    }

    private int takeDeferredCost() {
        int taken = Math.min(deferredCost, PHASE_COST);
        deferredCost -= taken;
        return taken;
    }

    /**
     * What the source has used of its quantum in this turn, with what it owes from earlier ones. While it waits it gets
     * no further quantum, as it could not use it.
     */
    private int costInTurn(Source<T> source) {
        if (source.waiting) {
            return source.cost;
        }
        long turns = turn - source.turn;
        return turns >= source.cost / source.quantum + 1 ? 0 : source.cost - (int) turns * source.quantum;
    }

    /** Queues the source for its turn; no effect if it waits already. */
    public void await(Source<T> source) {
        if (!source.waiting) {
            boolean owes = costInTurn(source) > 0;
            beginWait(source);
            if (owes) {
                source.queue.addBacklogged(source);
            } else {
                source.queue.addFresh(source);
            }
        }
    }

    /**
     * Queues the source for its turn behind those that have not worked, as it has had work for longer than it could do
     * any; no effect if it waits already.
     */
    public void awaitBacklogged(Source<T> source) {
        if (!source.waiting) {
            beginWait(source);
            source.queue.addBacklogged(source);
        }
    }

    private void beginWait(Source<T> source) {
        source.cost = costInTurn(source);
        source.turn = turn;
        source.waiting = true;
    }

    /** Removes the source, which has no more work. */
    public void remove(Source<T> source) {
        if (source.waiting) {
            source.waiting = false;
            source.queue.remove(source);
        }
    }

    /** Begins the second phase of the turn. */
    public void beginQueued() {
        phaseCost = takeDeferredCost();
    }

    /**
     * Takes the next source to be served in this phase, of each kind those first that have not worked in the turn; null
     * if the phase's budget is used or each waiting source has been served.
     */
    public T next() {
        if (phaseCost >= PHASE_COST) {
            return null;
        }
        Source<T> source = pollAlternately();
        if (source == null) {
            return null;
        }
        source.waiting = false;
        source.servedTurn = turn;
        if (source.turn != turn) {
            source.cost = Math.max(0, source.cost - source.quantum);
            source.turn = turn;
        }
        return source.owner;
    }

    private Source<T> pollAlternately() {
        Source<T> source = (responsesNext ? responses : requests).poll(turn);
        if (source == null) {
            source = (responsesNext ? requests : responses).poll(turn);
        }
        responsesNext = source != null && source.queue == requests;
        return source;
    }

    /** Ends the turn, and begins the first phase of the next one. */
    public void endTurn() {
        turn++;
        phaseCost = takeDeferredCost();
    }

    /**
     * Forgives what is owed, at the end of a turn in which no source waits: it would delay the next input for nobody.
     */
    public void endIdle() {
        turn += MAX_OWED_TURNS;
        deferredCost = 0;
        phaseCost = 0;
    }

    /** Whether any source waits for its turn. */
    public boolean hasWaiting() {
        return !requests.isEmpty() || !responses.isEmpty();
    }
}
