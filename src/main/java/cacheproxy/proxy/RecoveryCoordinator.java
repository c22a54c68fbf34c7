package cacheproxy.proxy;

import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.ServicePhase;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.proxy.peer.MembershipLink;
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
 * Carries out what package recovery decides: tells the fleet this instance's stage and load, and closes client
 * connections where it carries more than its share. Event loop only.
 */
public final class RecoveryCoordinator {
    /** The note in the membership view that holds an instance's load, one byte of {@link RequestRateCode} or none. */
    static final int LOAD_NOTE = 2;

    private static final double TICK_MS = 250;
    /** The load is shared no more often than this. */
    private static final double MIN_SHARE_INTERVAL_MS = 1500;
    /** The window over which the request rate is measured. */
    private static final double RATE_WINDOW_MS = 1500;

    private static final double MS_PER_SECOND = 1000.0;

    private final Dispatcher dispatcher;
    /** Null where this proxy takes no part in the fleet's view. */
    private final MembershipLink members;

    private final ClientAcceptor acceptor;
    private final Runnable discardEndpointList;
    private final RecoveryProgress progress;
    private final ConnectionRebalancer rebalancer = new ConnectionRebalancer();
    private double rateWindowStartMs;
    private long acceptedAtWindowStart;
    private double requestsPerSecond;
    private byte sharedLoad;
    private double sharedLoadMs = Double.NEGATIVE_INFINITY;
    private boolean backingOff;

    /**
     * Begins at once.
     *
     * @param members null where this proxy takes no part in the fleet's view, and tells nobody
     * @param listConfirmed whether the endpoint list came from the process that this one took over from
     * @param discardEndpointList replaces a stored endpoint list that has expired by the configured one
     */
    public RecoveryCoordinator(
            Dispatcher dispatcher,
            MembershipLink members,
            ClientAcceptor acceptor,
            boolean listConfirmed,
            Runnable discardEndpointList) {
        this.dispatcher = dispatcher;
        this.members = members;
        this.acceptor = acceptor;
        this.discardEndpointList = discardEndpointList;
        progress = new RecoveryProgress(dispatcher.startedMs());
        if (dispatcher.servers().cacheNodeCount() > 0) {
            progress.listAvailable(dispatcher.now(), listConfirmed);
        }
        dispatcher.addEndpointListListener(this::endpointListChanged);
        rateWindowStartMs = dispatcher.now();
        run();
    }

    private void endpointListChanged(EndpointUpdateKind kind) {
        if (kind == EndpointUpdateKind.SNAPSHOT || kind == EndpointUpdateKind.DELTA) {
            progress.listAvailable(dispatcher.now(), true);
        } else if (kind == EndpointUpdateKind.CACHED && dispatcher.servers().cacheNodeCount() == 0) {
            progress.listLost();
        }
    }

    private void run() {
        tick();
        dispatcher.after(TICK_MS, this::run);
    }

    private void tick() {
        double nowMs = dispatcher.now();
        discardExpiredList(nowMs);
        Stage stage = updateStage(nowMs);
        measureRate(nowMs);
        if (members != null && !dispatcher.drain().closing()) {
            // A drain announces itself, and when it is cancelled the stage holds again.
            members.phase(phase(stage));
            shareLoad(nowMs);
            rebalance(nowMs);
        }
    }

    private void discardExpiredList(double nowMs) {
        if (dispatcher.provenance().expired(nowMs, Subject.ENDPOINT_LIST)) {
            dispatcher.provenance().discarded(Subject.ENDPOINT_LIST);
            dispatcher.log("recovery: the stored endpoint list has expired, and discovery has not answered");
            discardEndpointList.run();
        }
    }

    private Stage updateStage(double nowMs) {
        Counters counters = dispatcher.counters();
        RequestCounts counts = new RequestCounts(
                dispatcher.acceptedRequests(),
                counters.count(Metric.REQUESTS_SUCCEEDED),
                counters.count(Metric.REQUESTS_REJECTED));
        Stage before = progress.stage();
        Stage stage = progress.update(nowMs, counts);
        if (stage != before) {
            logStage(stage);
        }
        return stage;
    }

    private void logStage(Stage stage) {
        dispatcher.log(String.format(
                Locale.ROOT,
                "recovery: %s after_s=%.1f%s",
                stage.wireName(),
                (dispatcher.now() - dispatcher.startedMs()) / MS_PER_SECOND,
                stage == Stage.SERVING && progress.endedByTimeout() ? ", by the clock alone" : ""));
    }

    private void measureRate(double nowMs) {
        if (nowMs - rateWindowStartMs >= RATE_WINDOW_MS) {
            long accepted = dispatcher.acceptedRequests();
            requestsPerSecond = (accepted - acceptedAtWindowStart) * MS_PER_SECOND / (nowMs - rateWindowStartMs);
            acceptedAtWindowStart = accepted;
            rateWindowStartMs = nowMs;
        }
    }

    private static ServicePhase phase(Stage stage) {
        return switch (stage) {
            case STARTING -> ServicePhase.STARTING;
            case RECOVERING -> ServicePhase.RECOVERING;
            case SERVING -> ServicePhase.SERVING;
        };
    }

    private void shareLoad(double nowMs) {
        if (RequestRateCode.differs(sharedLoad, requestsPerSecond) && nowMs - sharedLoadMs >= MIN_SHARE_INTERVAL_MS) {
            sharedLoad = RequestRateCode.encode(requestsPerSecond);
            sharedLoadMs = nowMs;
            members.note(LOAD_NOTE, sharedLoad == 0 ? new byte[0] : new byte[] {sharedLoad});
        }
    }

    private void rebalance(double nowMs) {
        int excess = rebalancer.connectionsToClose(
                nowMs,
                requestsPerSecond,
                otherServingRates(members.view()),
                acceptor.openConnections(),
                acceptor.idleConnections());
        if (excess > 0) {
            acceptor.closeMostRecentlyUsed(excess);
        }
        if (backingOff != rebalancer.isBackingOff(nowMs)) {
            backingOff = !backingOff;
            if (backingOff) {
                dispatcher.log(
                        "recovery: ending connections does not move clients elsewhere; none is ended for a while");
            }
        }
    }

    private static List<Double> otherServingRates(MembershipView view) {
        List<Double> rates = new ArrayList<>();
        for (Member member : view.members()) {
            if (member.id() != view.self() && member.state().isLive() && member.phase() == ServicePhase.SERVING) {
                byte[] load = member.note(LOAD_NOTE);
                rates.add(load.length == 1 ? RequestRateCode.decode(load[0]) : 0);
            }
        }
        return rates;
    }

    /** The stage between the start and full service. */
    public RecoveryProgress progress() {
        return progress;
    }

    /** The load of this instance by that of the others. */
    public ConnectionRebalancer rebalancer() {
        return rebalancer;
    }

    /** Requests a second that this proxy receives. */
    public double requestsPerSecond() {
        return requestsPerSecond;
    }
}
