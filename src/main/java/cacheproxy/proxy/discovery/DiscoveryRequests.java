package cacheproxy.proxy.discovery;

import cacheproxy.endpoints.PollKind;
import cacheproxy.endpoints.StartPoll;

/**
 * The requests to discovery, all {@code GET}:
 *
 * <pre>
 * SNAPSHOT   /discovery/hosts
 * DELTA      /discovery/hosts?since=VERSION&amp;timeout_ms=0
 * WATCH      /discovery/hosts?since=VERSION&amp;timeout_ms=WAIT, in whole milliseconds
 * </pre>
 *
 * <p>To a request with {@code since=0} discovery always responds with a snapshot.
 */
final class DiscoveryRequests {
    private static final String PATH = "/discovery/hosts";

    private DiscoveryRequests() {}

    /** The path and query of a poll for the changes after a version. */
    static String uri(StartPoll poll, long afterVersion) {
        return poll.kind() == PollKind.SNAPSHOT
                ? PATH
                : PATH + "?since=" + afterVersion + "&timeout_ms=" + (int) poll.waitMs();
    }
}
