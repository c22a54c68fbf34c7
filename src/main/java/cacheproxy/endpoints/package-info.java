/**
 * How fresh the endpoint list is: when discovery is polled for it, with which kind of poll, and when a poll is
 * cancelled. Pure decisions: events with their times in, {@link cacheproxy.endpoints.PollAction}s out.
 * {@link cacheproxy.endpoints.EndpointListPoller} is where to begin.
 */
package cacheproxy.endpoints;
