package cacheproxy.endpoints;

/**
 * Cancel a pending poll; no response or failure is reported for it afterwards.
 *
 * @param id the id of the {@link StartPoll} that started it
 */
public record CancelPoll(int id) implements PollAction {}
