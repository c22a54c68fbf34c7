package cacheproxy.proxy;

import cacheproxy.membership.Entry;
import cacheproxy.membership.Phase;
import cacheproxy.membership.View;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.recovery.ConnectionRebalancer;
import cacheproxy.recovery.ProvenanceTracker.Subject;
import cacheproxy.recovery.RecoveryProgress;
import cacheproxy.recovery.RecoveryProgress.Stage;
import cacheproxy.recovery.RequestCounts;
import cacheproxy.recovery.RequestRateCode;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Carries out what is decided of coming back: tells the fleet how far this instance is and what it is asked, and ends
 * clients' connections where it carries more than its part. On the event loop only.
 */
public final class RecoveryLink {
    /** The note of the view that holds what an instance is asked. */
    static final int LOAD_NOTE = 2;

    private static final double TICK_MS = 250;
    /** What is asked is told so often at most. */
    private static final double TELL_MS = 1500;
    /** A rate is taken over so long. */
    private static final double RATE_MS = 1500;

    private final Dispatcher dispatcher;
    private final MemberLink members;
    private final ClientAcceptor acceptor;
    private final Runnable listExpired;
    private final RecoveryProgress progress;
    private final ConnectionRebalancer spread = new ConnectionRebalancer();
    private double rateMs;
    private long rateTaken;
    private double rate;
    private byte toldLoad;
    private double toldMs = Double.NEGATIVE_INFINITY;
    private boolean paused;

    /**
     * {@code members}: null where no view is kept, and nobody is told; {@code firstHand}: whether the list came from
     * the process before, which served until now; {@code listExpired}: lets go of a list that is past its bound.
     */
    public RecoveryLink(
            Dispatcher dispatcher,
            MemberLink members,
            ClientAcceptor acceptor,
            boolean firstHand,
            Runnable listExpired) {
        this.dispatcher = dispatcher;
        this.members = members;
        this.acceptor = acceptor;
        this.listExpired = listExpired;
        progress = new RecoveryProgress(dispatcher.startedMs());
        if (dispatcher.servers().discovered() > 0) {
            progress.listAvailable(dispatcher.now(), firstHand);
        }
        dispatcher.addEndpointListListener(this::listed);
        rateMs = dispatcher.now();
        run();
    }

    private void listed(EndpointUpdateKind kind) {
        if (kind == EndpointUpdateKind.SNAPSHOT || kind == EndpointUpdateKind.DELTA) {
            progress.listAvailable(dispatcher.now(), true);
        } else if (kind == EndpointUpdateKind.CACHED && dispatcher.servers().discovered() == 0) {
            progress.listLost();
        }
    }

    private void run() {
        tick();
        dispatcher.after(TICK_MS, this::run);
    }

    private void tick() {
        double now = dispatcher.now();
        if (dispatcher.provenance().expired(now, Subject.ENDPOINT_LIST)) {
            dispatcher.provenance().discarded(Subject.ENDPOINT_LIST);
            dispatcher.log("recovery: the stored list is too old to go on with, and discovery has not answered");
            listExpired.run();
        }
        Counters c = dispatcher.counters();
        Stage before = progress.stage();
        Stage stage = progress.update(
                now,
                new RequestCounts(
                        dispatcher.acceptedRequests(),
                        c.count(Metric.REQUESTS_SUCCEEDED),
                        c.count(Metric.REQUESTS_REJECTED)));
        if (stage != before) {
            tell(stage);
        }
        if (now - rateMs >= RATE_MS) {
            rate = (dispatcher.acceptedRequests() - rateTaken) * 1000.0 / (now - rateMs);
            rateTaken = dispatcher.acceptedRequests();
            rateMs = now;
        }
        if (members != null && !dispatcher.drain().closing()) {
            phase(stage);
            share(now);
        }
    }

    private void tell(Stage stage) {
        dispatcher.log(String.format(
                Locale.ROOT,
                "recovery: %s %.1f s after the start%s",
                stage.wireName(),
                (dispatcher.now() - dispatcher.startedMs()) / 1000,
                stage == Stage.SERVING && progress.endedByTimeout() ? ", by the clock alone" : ""));
    }

    /** A drain says so itself, and says so when it is taken back. */
    private void phase(Stage stage) {
        members.phase(
                switch (stage) {
                    case STARTING -> Phase.STARTING;
                    case RECOVERING -> Phase.RECOVERING;
                    case SERVING -> Phase.SERVING;
                });
    }

    private void share(double now) {
        if (RequestRateCode.differs(toldLoad, rate) && now - toldMs >= TELL_MS) {
            toldLoad = RequestRateCode.encode(rate);
            toldMs = now;
            members.note(LOAD_NOTE, toldLoad == 0 ? new byte[0] : new byte[] {toldLoad});
        }
        View view = members.view();
        List<Double> others = new ArrayList<>();
        for (Entry e : view.entries()) {
            if (e.id() != view.me() && e.state().lives() && e.phase() == Phase.SERVING) {
                byte[] told = e.note(LOAD_NOTE);
                others.add(told.length == 1 ? RequestRateCode.decode(told[0]) : 0);
            }
        }
        int many = spread.connectionsToClose(now, rate, others, acceptor.openConnections(), acceptor.idleConnections());
        if (many > 0) {
            acceptor.closeMostRecentlyUsed(many);
        }
        if (paused != spread.isBackingOff(now)) {
            paused = !paused;
            if (paused) {
                dispatcher.log(
                        "recovery: ending connections does not move clients elsewhere; they are left alone for a while");
            }
        }
    }

    /** How far it is. */
    public RecoveryProgress progress() {
        return progress;
    }

    /** What it carries by what the others do. */
    public ConnectionRebalancer spread() {
        return spread;
    }

    /** Requests per second that this instance receives. */
    public double rate() {
        return rate;
    }
}
