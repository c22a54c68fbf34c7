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
 * <p>After version 0 discovery answers with a snapshot, whatever was asked for.
 */
final class DiscoveryRequests {
    private static final String PATH = "/discovery/hosts";

    private DiscoveryRequests() {}

    /** The path and query of a poll for what has changed after a version. */
    static String uri(StartPoll poll, long afterVersion) {
        return poll.kind() == PollKind.SNAPSHOT
                ? PATH
                : PATH + "?since=" + afterVersion + "&timeout_ms=" + (int) poll.waitMs();
    }
}
