package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A source that always has work delays the others by its quantum at most, and every source gets its turns. */
class TurnSchedulerTest {
    private final TurnScheduler<String> scheduler = new TurnScheduler<>();

    /** Works as long as it may, by pieces of this cost; returns what it used. */
    private int work(TurnScheduler.Source<String> source, int pieceCost) {
        int used = 0;
        while (scheduler.mayWork(source)) {
            scheduler.charge(source, pieceCost);
            used += pieceCost;
        }
        scheduler.await(source);
        return used;
    }

    private List<String> served() {
        List<String> served = new ArrayList<>();
        scheduler.beginQueued();
        for (String next = scheduler.next(); next != null; next = scheduler.next()) {
            served.add(next);
        }
        return served;
    }

    @Test
    void aSourceWorksForItsQuantumInATurn() {
        TurnScheduler.Source<String> source = scheduler.newSource("a", 1);
        assertThat(work(source, 1)).isEqualTo(TurnScheduler.QUANTUM);
        assertThat(served()).containsExactly("a");
        assertThat(scheduler.mayWork(source)).isFalse();
        scheduler.endTurn();
        assertThat(work(source, 1)).isEqualTo(TurnScheduler.QUANTUM);
    }

    /** Guards against responses that wait behind the requests of hundreds of clients. */
    @Test
    void aSourceOfResponsesIsServedBehindOneSourceOfRequestsHoweverManyWait() {
        for (int i = 0; i < 350; i++) {
            scheduler.await(scheduler.newSource("client" + i, 1));
        }
        TurnScheduler.Source<String> server = scheduler.newResponseSource("server", 1);
        work(server, TurnScheduler.QUANTUM);
        assertThat(served()).startsWith("client0", "server", "client1");
    }

    @Test
    void aSourceThatFindsThePhaseUsedByReadingIsServedBeforeThoseThatHaveWorked() {
        TurnScheduler.Source<String> busy = scheduler.newSource("busy", 1);
        TurnScheduler.Source<String> other = scheduler.newSource("other", 1);
        work(busy, TurnScheduler.QUANTUM);
        scheduler.chargePhase(TurnScheduler.PHASE_COST);
        assertThat(scheduler.mayWork(other)).isFalse();
        scheduler.await(other);
        assertThat(served()).containsExactly("other", "busy");
        assertThat(work(other, 1)).isEqualTo(TurnScheduler.QUANTUM);
    }

    @Test
    void whatAPieceOfWorkTakesBeyondTheQuantumIsOwedInTheNextTurns() {
        TurnScheduler.Source<String> source = scheduler.newSource("a", 1);
        scheduler.charge(source, 3 * TurnScheduler.QUANTUM + 1);
        for (int turn = 0; turn < 3; turn++) {
            assertThat(scheduler.mayWork(source)).isFalse();
            scheduler.endTurn();
        }
        assertThat(work(source, 1)).isEqualTo(TurnScheduler.QUANTUM - 1);
    }

    @Test
    void aProcessThatWasStoppedInAPieceOfWorkOwesFewTurns() {
        TurnScheduler.Source<String> source = scheduler.newSource("a", 1);
        scheduler.charge(source, 4_000_000);
        scheduler.chargeDeferred(4_000_000);
        for (int turn = 0; turn < TurnScheduler.MAX_OWED_TURNS; turn++) {
            scheduler.beginQueued();
            scheduler.endTurn();
        }
        assertThat(scheduler.mayWork(source)).isTrue();
    }

    @Test
    void nothingIsOwedOnceNoSourceWaits() {
        TurnScheduler.Source<String> source = scheduler.newSource("a", 1);
        scheduler.charge(source, 4_000_000);
        scheduler.chargeDeferred(4_000_000);
        scheduler.endTurn();
        assertThat(scheduler.mayWork(source)).isFalse();
        scheduler.endIdle();
        assertThat(work(source, 1)).isEqualTo(TurnScheduler.QUANTUM);
    }

    @Test
    void aSourceThatHasNotWorkedIsServedBeforeThoseThatHave() {
        TurnScheduler.Source<String> busy = scheduler.newSource("busy", 1);
        work(busy, 1);
        scheduler.await(scheduler.newSource("fresh", 1));
        assertThat(served()).containsExactly("fresh", "busy");
    }

    @Test
    void aSourceWhoseWorkHadToWaitIsServedBehindThoseThatHaveNotWorked() {
        scheduler.awaitBacklogged(scheduler.newSource("waited", 1));
        scheduler.await(scheduler.newSource("fresh", 1));
        assertThat(served()).containsExactly("fresh", "waited");
    }

    @Test
    void aPhaseEndsWhenItsBudgetIsUsed() {
        List<TurnScheduler.Source<String>> sources = new ArrayList<>();
        int many = 2 * TurnScheduler.PHASE_COST / TurnScheduler.QUANTUM;
        for (int i = 0; i < many; i++) {
            sources.add(scheduler.newSource("s" + i, 1));
        }
        int used = sources.stream().mapToInt(source -> work(source, 1)).sum();
        assertThat(used).isEqualTo(TurnScheduler.PHASE_COST);
    }

    @Test
    void aSourceOfMoreWeightGetsAsManyTimesTheQuantum() {
        assertThat(work(scheduler.newSource("a", 3), 1)).isEqualTo(3 * TurnScheduler.QUANTUM);
    }

    @Test
    void workOutsideOfThePhasesIsTakenFromTheirBudgets() {
        scheduler.chargeDeferred(2 * TurnScheduler.PHASE_COST);
        scheduler.await(scheduler.newSource("a", 1));
        assertThat(served()).isEmpty();
        scheduler.endTurn();
        assertThat(served()).containsExactly("a");
    }

    @Test
    void aRemovedSourceIsNotServed() {
        TurnScheduler.Source<String> source = scheduler.newSource("a", 1);
        scheduler.await(source);
        scheduler.remove(source);
        assertThat(scheduler.hasWaiting()).isFalse();
        assertThat(served()).isEmpty();
    }

    @Test
    void inALongQueueASourceOfExpensivePiecesGetsNoMoreThanTheOthers() {
        int expensivePiece = 5 * TurnScheduler.QUANTUM;
        List<TurnScheduler.Source<Integer>> sources = new ArrayList<>();
        TurnScheduler<Integer> turns = new TurnScheduler<>();
        int[] used = new int[100];
        for (int i = 0; i < used.length; i++) {
            sources.add(turns.newSource(i, 1));
            turns.await(sources.get(i));
        }
        for (int turn = 0; turn < 1000; turn++) {
            turns.beginQueued();
            for (Integer next = turns.next(); next != null; next = turns.next()) {
                int pieceCost = next == 0 ? expensivePiece : 1;
                while (turns.mayWork(sources.get(next))) {
                    turns.charge(sources.get(next), pieceCost);
                    used[next] += pieceCost;
                }
                turns.await(sources.get(next));
            }
            turns.endTurn();
        }
        assertThat(used[0]).isBetween(used[1] - expensivePiece, used[1] + expensivePiece);
    }

    @Property
    void eachOfManySourcesGetsAsMuchAsTheOthers(
            @ForAll @IntRange(min = 2, max = 200) int many, @ForAll @IntRange(min = 1, max = 900) int pieceCost) {
        TurnScheduler<Integer> turns = new TurnScheduler<>();
        List<TurnScheduler.Source<Integer>> sources = new ArrayList<>();
        int[] used = new int[many];
        for (int i = 0; i < many; i++) {
            sources.add(turns.newSource(i, 1));
            turns.await(sources.get(i));
        }
        for (int turn = 0; turn < 400; turn++) {
            turns.beginQueued();
            for (Integer next = turns.next(); next != null; next = turns.next()) {
                while (turns.mayWork(sources.get(next))) {
                    turns.charge(sources.get(next), pieceCost);
                    used[next] += pieceCost;
                }
                turns.await(sources.get(next));
            }
            turns.endTurn();
        }
        int least = Integer.MAX_VALUE;
        int most = 0;
        for (int cost : used) {
            least = Math.min(least, cost);
            most = Math.max(most, cost);
        }
        assertThat(most - least).isLessThanOrEqualTo(2 * (TurnScheduler.QUANTUM + pieceCost));
    }
}
