package cacheproxy.demo;

import cacheproxy.emulator.EmulatedFleet;
import cacheproxy.emulator.Oracle;
import cacheproxy.emulator.Series.What;
import cacheproxy.emulator.meta.MetaAnswer;
import cacheproxy.emulator.meta.MetaAnswerDecoder;
import cacheproxy.load.Observer;
import cacheproxy.load.Planned;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

/** Reports the generator's requests and responses to a fleet's oracle. */
public final class OracleObserver implements Observer {
    /** Allowance for passing a response between event loops after its time was taken. */
    private static final long LOOP_MS = 100;

    private final EmulatedFleet fleet;
    private final IntUnaryOperator takenBy;
    /** Send times and deadlines of open requests; used only on the fleet's event loop. */
    private final Map<String, double[]> open = new HashMap<>();

    /**
     * Creates an observer for the fleet's oracle; {@code takenBy} maps a client port to the proxy that accepted the
     * connection, negative for none.
     */
    public OracleObserver(EmulatedFleet fleet, IntUnaryOperator takenBy) {
        this.fleet = fleet;
        this.takenBy = takenBy;
    }

    @Override
    public void asked(String id, Planned planned, long atNanos, long deadlineNanos) {
        fleet.tell(o -> {
            o.asked(id, planned.key(), planned.write(), fleet.at(atNanos), fleet.at(deadlineNanos));
            open.putIfAbsent(id, new double[] {fleet.at(atNanos), fleet.at(deadlineNanos)});
        });
    }

    @Override
    public void answered(String id, MetaAnswer answer, int port, long atNanos) {
        int proxy = takenBy.applyAsInt(port);
        fleet.tell(o -> {
            double at = fleet.at(atNanos);
            count(
                    id,
                    proxy,
                    answer instanceof MetaAnswer.Busy
                            ? What.REFUSED
                            : answer instanceof MetaAnswer.Value || answer instanceof MetaAnswer.Receipt
                                    ? What.SERVED
                                    : What.FAILED,
                    at);
            if (answer instanceof MetaAnswer.Value v) {
                o.answered(
                        id,
                        proxy,
                        Oracle.Ending.SERVED,
                        v.value(),
                        -1,
                        v.value().length > MetaAnswerDecoder.LONG ? fleet.at(v.begunNanos()) : at);
            } else if (answer instanceof MetaAnswer.Receipt r) {
                o.answered(id, proxy, Oracle.Ending.SERVED, null, version(r.receipt()), at);
            } else {
                o.answered(
                        id,
                        proxy,
                        answer instanceof MetaAnswer.Busy ? Oracle.Ending.REFUSED : Oracle.Ending.FAILED,
                        null,
                        -1,
                        at);
            }
        });
    }

    private void count(String id, int proxy, What how, double at) {
        double[] times = open.remove(id);
        if (times != null) {
            fleet.count(s -> {
                s.add(proxy, What.ASKED, 1, times[0]);
                s.add(proxy, how == What.SERVED && at > times[1] ? What.LATE : how, 1, at);
            });
        }
    }

    /** The version that a write created, from the origin's receipt. */
    private static long version(String receipt) {
        return receipt.matches("v\\d{1,18}") ? Long.parseLong(receipt.substring(1)) : -1;
    }

    /** The rules allow a response a grace period beyond the client's deadline, so the oracle is informed after it. */
    @Override
    public void unanswered(String id, int port, long endedNanos, long atNanos) {
        int proxy = takenBy.applyAsInt(port);
        double ended = endedNanos == 0 ? Double.NaN : fleet.at(endedNanos);
        fleet.loop()
                .schedule(
                        () -> fleet.tell(o -> {
                            o.unanswered(id, proxy, ended, fleet.at(atNanos));
                            count(id, proxy, What.UNANSWERED, fleet.at(atNanos));
                        }),
                        (long) fleet.spec().answerGraceMs() + LOOP_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void late(String id, MetaAnswer answer, int port, long atNanos) {
        answered(id, answer, port, atNanos);
    }

    @Override
    public void unsolicited(MetaAnswer answer, long atNanos) {
        fleet.tell(o -> o.unsolicited(answer.getClass().getSimpleName() + " for " + answer.id(), fleet.at(atNanos)));
    }
}
