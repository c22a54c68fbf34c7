package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests of hundreds of connections would take more memory than there is; the connections wait in order instead. */
class ConnectionMemoryTest {
    private static final int REQUEST = ConnectionMemory.requestBytes(0);
    private static final int LIMIT = 10 * REQUEST;
    private static final int RESPONSE = ConnectionMemory.RESPONSE_BYTES;
    private static final int FIRST_RESPONSES = 5;
    /** Pipelined requests for whose responses the budget below has room. */
    private static final int PIPELINED = 3;

    private final List<String> told = new ArrayList<>();
    private ByteBudget budget = new ByteBudget(Integer.MAX_VALUE);
    private ConnectionMemory memory = memory(LIMIT);

    private ConnectionMemory memory(long heapBytes) {
        return new ConnectionMemory(heapBytes, FIRST_RESPONSES * RESPONSE, budget, new ReadAheadBudget(0, 0));
    }

    /** Makes direct memory scarce, not heap. */
    private void limitDirectMemory() {
        budget = new ByteBudget(RESPONSE * PIPELINED * 2);
        memory = memory(Integer.MAX_VALUE);
    }

    private ConnectionMemory.Account account(String name) {
        return memory.newAccount(() -> told.add(name));
    }

    private static ConnectionMemory.Request begin(ConnectionMemory.Account account) {
        assertThat(account.mayBeginRequest(false)).isTrue();
        return account.beginRequest(0, false);
    }

    private static void end(ConnectionMemory.Request request) {
        request.answered();
        request.responseWritten();
    }

    private Deque<ConnectionMemory.Request> fill() {
        return fill(account("filling"));
    }

    private static Deque<ConnectionMemory.Request> fill(ConnectionMemory.Account account) {
        Deque<ConnectionMemory.Request> requests = new ArrayDeque<>();
        while (account.mayBeginRequest(false)) {
            requests.add(account.beginRequest(0, false));
        }
        return requests;
    }

    @Test
    void aConnectionMayNotBeginMoreRequestsThanThereIsRoomFor() {
        fill();
        assertThat(memory.requestBytes()).isEqualTo(LIMIT);
    }

    @Test
    void aConnectionThatHoldsNothingMayBeginARequestWhateverOthersHold() {
        fill();
        ConnectionMemory.Account other = account("other");
        begin(other);
        assertThat(other.mayBeginRequest(false)).isFalse();
    }

    @Test
    void connectionsThatWaitAreToldInOrderOnceThereIsRoom() {
        ConnectionMemory.Account filling = account("filling");
        Deque<ConnectionMemory.Request> requests = fill(filling);
        end(requests.poll());
        assertThat(told).containsExactly("filling");
        filling.passOn();
        ConnectionMemory.Account first = account("first");
        begin(first);
        assertThat(first.mayBeginRequest(false)).isFalse();
        ConnectionMemory.Account second = account("second");
        begin(second);
        assertThat(second.mayBeginRequest(false)).isFalse();
        told.clear();
        end(requests.poll());
        assertThat(told).isEmpty();
        end(requests.poll());
        assertThat(told).containsExactly("first");
    }

    @Test
    void theRoomThatAConnectionWasToldOfIsKeptUntilItPassesItOn() {
        limitDirectMemory();
        ConnectionMemory.Account filling = account("filling");
        Deque<ConnectionMemory.Request> requests = fill(filling);
        ConnectionMemory.Account second = account("second");
        begin(second);
        assertThat(second.mayBeginRequest(false)).isFalse();
        end(requests.pollLast());
        assertThat(told).containsExactly("filling");
        assertThat(second.mayBeginRequest(false)).isFalse();
        assertThat(filling.mayBeginRequest(false)).isTrue();
        filling.passOn();
        assertThat(told).containsExactly("filling", "second");
        begin(second);
        assertThat(filling.mayBeginRequest(false)).isFalse();
    }

    @Test
    void aClosedConnectionIsNotTold() {
        ConnectionMemory.Account account = account("closed");
        ConnectionMemory.Request request = begin(account);
        fill();
        assertThat(account.mayBeginRequest(false)).isFalse();
        account.close();
        told.clear();
        end(request);
        assertThat(told).doesNotContain("closed");
    }

    @Test
    void pipelinedRequestsBeginWhileThereIsDirectMemoryForTheirResponses() {
        limitDirectMemory();
        assertThat(fill()).hasSize(1 + PIPELINED);
        assertThat(budget.reserved()).isEqualTo(PIPELINED * RESPONSE);
    }

    @Test
    void aResponseHoldsItsLengthUntilItIsWritten() {
        limitDirectMemory();
        Deque<ConnectionMemory.Request> requests = fill();
        ConnectionMemory.Request last = requests.getLast();
        last.responseArrived(1000);
        assertThat(budget.reserved()).isEqualTo((PIPELINED - 1) * RESPONSE + 1000);
        last.answered();
        assertThat(budget.reserved()).isEqualTo((PIPELINED - 1) * RESPONSE + 1000);
        last.responseWritten();
        last.responseWritten();
        assertThat(budget.reserved()).isEqualTo((PIPELINED - 1) * RESPONSE);
        assertThat(told).containsExactly("filling");
    }

    @Test
    void aConnectionWhoseOutputIsUnwrittenHasNoClaimToAFirstRequest() {
        limitDirectMemory();
        fill();
        assertThat(account("unread output").mayBeginRequest(true)).isFalse();
        ConnectionMemory.Account answered = account("answered");
        begin(answered).answered();
        assertThat(answered.mayBeginRequest(false)).isFalse();
    }

    @Test
    void firstRequestsWaitInOrderIfTheirMemoryIsExhausted() {
        limitDirectMemory();
        ConnectionMemory.Request begun = begin(account("0"));
        for (int i = 1; i < FIRST_RESPONSES; i++) {
            begin(account("begun"));
        }
        fill();
        assertThat(account("waits").mayBeginRequest(false)).isFalse();
        told.clear();
        end(begun);
        assertThat(told).containsExactly("filling");
    }

    @Test
    void pipelinedRequestsGiveWayToAValueThatWaits() {
        limitDirectMemory();
        ConnectionMemory.Account account = account("pipelining");
        begin(account);
        ConnectionMemory.Request second = begin(account);
        int largest = (int) budget.maxReservation();
        ByteBudget.Reservation value = budget.reserve(largest, () -> told.add("value"));
        assertThat(value.granted()).isFalse();
        assertThat(account.mayBeginRequest(false)).isFalse();
        end(second);
        assertThat(told).containsExactly("value");
        value.release();
        assertThat(told).containsExactly("value", "pipelining");
    }
}
