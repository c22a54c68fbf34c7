/**
 * Keeps the endpoint list fresh: decides when to poll discovery, with which kind of poll, and when to cancel a poll.
 * Pure decision logic that takes events with their times and returns {@link cacheproxy.endpoints.PollAction}s. The
 * entry point is {@link cacheproxy.endpoints.EndpointListPoller}.
 */
package cacheproxy.endpoints;
