package cacheproxy.proxy;

import cacheproxy.flow.RecentRequestIds;
import cacheproxy.takeover.UsedRequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The ids of requests that this process and the other one of a takeover share, so that neither accepts an id that the
 * other has accepted. Event loop only.
 */
public final class SharedRequestIds {
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final ProxyClock clock;
    private final RequestSettings settings;

    SharedRequestIds(RequestTable requests, RequestLifecycle lifecycle, ProxyClock clock, RequestSettings settings) {
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.clock = clock;
        this.settings = settings;
    }

    /** The ids that are in use in this process. */
    public List<UsedRequestId> used() {
        List<UsedRequestId> used = new ArrayList<>();
        requests.recentlyUsed().forEach(clock.now(), (key, retentionMs) -> used.add(entry(key, retentionMs)));
        requests.openRequests().forEach(request -> used.add(entry(request)));
        return used;
    }

    /** Tells a listener each id that this process accepts, until the returned task is run. */
    public Runnable listen(Consumer<UsedRequestId> listener) {
        Consumer<ClientRequest> onAccepted = request -> listener.accept(entry(request));
        requests.acceptedListeners().add(onAccepted);
        return () -> requests.acceptedListeners().remove(onAccepted);
    }

    /**
     * Adds an id that the other process has accepted. A request of this id that waits here is rejected: the other
     * process has received it as well, and may have forwarded it.
     */
    public void add(UsedRequestId id) {
        ClientRequest waiting = requests.openRequest(id.key());
        if (waiting != null && waiting.attempts.stream().noneMatch(RequestAttempt::isWritten)) {
            lifecycle.rejectDuplicate(waiting);
        }
        requests.recentlyUsed().addKey(clock.now(), id.key(), (double) id.retentionMs());
    }

    /** As long as servers may execute the request, should it end at its deadline. */
    private UsedRequestId entry(ClientRequest request) {
        double openMs = Math.max(0, request.deadlineMs - clock.now());
        return entry(RecentRequestIds.key(request.command.id), openMs + settings.longestDeadlineMs());
    }

    private static UsedRequestId entry(String key, double retentionMs) {
        return new UsedRequestId(key, (long) Math.ceil(Math.max(0, retentionMs)));
    }
}
