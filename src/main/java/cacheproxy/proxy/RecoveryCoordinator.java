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
 * Carries out the decisions of package {@code recovery}: announces this instance's stage and load to the fleet, and
 * closes client connections if it carries more than its share of the load. Event loop only.
 */
public final class RecoveryCoordinator {
    /** The key of the membership metadata with an instance's load: one byte of {@link RequestRateCode}, or none. */
    static final int LOAD_METADATA = 2;

    private static final double TICK_MS = 250;
    /** The minimum interval between two announcements of the load. */
    private static final double MIN_SHARE_INTERVAL_MS = 1500;
    /** The window over which the request rate is measured. */
    private static final double RATE_WINDOW_MS = 1500;

    private static final double MS_PER_SECOND = 1000.0;

    private final Dispatcher dispatcher;
    /** Null if this instance does not take part in the fleet's membership. */
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
     * Starts at once.
     *
     * @param members null if this instance does not take part in the fleet's membership, so announces nothing
     * @param listConfirmed whether the endpoint list came from the predecessor in a takeover
     * @param discardEndpointList replaces an expired stored endpoint list by the configured one
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
            // A drain announces its own phase; if it is cancelled, the stage is announced again.
            members.phase(phase(stage));
            shareLoad(nowMs);
            rebalance(nowMs);
        }
    }

    private void discardExpiredList(double nowMs) {
        if (dispatcher.provenance().expired(nowMs, Subject.ENDPOINT_LIST)) {
            dispatcher.provenance().discarded(Subject.ENDPOINT_LIST);
            dispatcher.log("recovery: the stored endpoint list has expired before discovery answered; it is discarded");
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
                stage == Stage.SERVING && progress.endedByTimeout() ? ", after the maximum recovery time" : ""));
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
            members.note(LOAD_METADATA, sharedLoad == 0 ? new byte[0] : new byte[] {sharedLoad});
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
                        "recovery: closing client connections does not move load to other instances; backing off");
            }
        }
    }

    private static List<Double> otherServingRates(MembershipView view) {
        List<Double> rates = new ArrayList<>();
        for (Member member : view.members()) {
            if (member.id() != view.self() && member.state().isLive() && member.phase() == ServicePhase.SERVING) {
                byte[] load = member.metadata(LOAD_METADATA);
                rates.add(load.length == 1 ? RequestRateCode.decode(load[0]) : 0);
            }
        }
        return rates;
    }

    /** The progress from the start to full service. */
    public RecoveryProgress progress() {
        return progress;
    }

    /** Compares the load of this instance with that of the others, and decides on connections to close. */
    public ConnectionRebalancer rebalancer() {
        return rebalancer;
    }

    /** The rate at which this instance accepts requests, per second. */
    public double requestsPerSecond() {
        return requestsPerSecond;
    }
}
