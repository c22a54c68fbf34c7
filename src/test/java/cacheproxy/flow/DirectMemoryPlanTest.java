package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What is planned for each user of direct memory fits into it, and suffices for what users are promised. */
class DirectMemoryPlanTest {
    private static final long DEPLOYED_BYTES = 56 << 20;
    /** A third of the descriptors that the operators allow. */
    private static final int CLIENTS = 341;

    private static final int LONGEST_VALUE_BYTES = 4 << 20;

    private final DirectMemoryPlan plan = DirectMemoryPlan.of(DEPLOYED_BYTES);

    @Test
    void allPartsTogetherLeaveWhatThePoolWastes() {
        long planned =
                plan.connectionsBytes() + plan.sharedBytes() + plan.ownReadAheadBytes() + plan.sharedReadAheadBytes();
        assertThat(planned).isLessThan(DEPLOYED_BYTES - DirectMemoryPlan.poolWasteBytes(DEPLOYED_BYTES));
        assertThat(DirectMemoryPlan.poolWasteBytes(DEPLOYED_BYTES)).isPositive();
    }

    @Test
    void eachClientMayBeginOneRequest() {
        assertThat(plan.connectionsBytes()).isGreaterThan((long) CLIENTS * ConnectionMemory.RESPONSE_BYTES);
    }

    @Test
    void theLongestValuesFitTwice() {
        ByteBudget budget = new ByteBudget(plan.sharedBytes());
        budget.reserve(LONGEST_VALUE_BYTES, () -> {});
        assertThat(budget.reserve(LONGEST_VALUE_BYTES, () -> {}).granted()).isTrue();
    }

    @Test
    void smallWritesFitBesidePipelinedRequests() {
        ByteBudget budget = new ByteBudget(plan.sharedBytes());
        while (budget.hasPipelinedRoom(ConnectionMemory.RESPONSE_BYTES)) {
            budget.reservePipelined(ConnectionMemory.RESPONSE_BYTES);
        }
        assertThat(budget.reserve(ByteBudget.SMALL_VALUE_BYTES, () -> {}).granted())
                .isTrue();
    }
}
