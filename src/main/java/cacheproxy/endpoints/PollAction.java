package cacheproxy.endpoints;

/** What the caller of {@link EndpointListPoller} has to do, in the order in which it was returned. */
public sealed interface PollAction permits StartPoll, CancelPoll {}
