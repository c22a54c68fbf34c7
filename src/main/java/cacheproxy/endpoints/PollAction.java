package cacheproxy.endpoints;

/**
 * An action for the caller of {@link EndpointListPoller}; actions are executed in the order in which they are returned.
 */
public sealed interface PollAction permits StartPoll, CancelPoll {}
