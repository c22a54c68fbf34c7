package cacheproxy.endpoints;

/**
 * Send a poll to discovery, and report its response or failure under its id.
 *
 * @param id unique among all polls
 * @param kind what to request
 * @param waitMs how long discovery may wait for a change before it answers, in milliseconds; 0 unless the poll is a
 *     watch
 * @param newConnection whether to use a new connection, because the existing one may be stuck
 */
public record StartPoll(int id, PollKind kind, double waitMs, boolean newConnection) implements PollAction {}
