package cacheproxy.endpoints;

/**
 * Send a poll to discovery, and report its response or failure under its id.
 *
 * @param id never used before
 * @param kind what to ask for
 * @param waitMs how long discovery may wait for a change before it answers, in milliseconds; 0 unless it is a watch
 * @param newConnection whether to use a new connection, as the one that stood before may be stuck
 */
public record StartPoll(int id, PollKind kind, double waitMs, boolean newConnection) implements PollAction {}
