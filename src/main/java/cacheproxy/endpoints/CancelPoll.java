package cacheproxy.endpoints;

/**
 * End a poll without waiting for its response; nothing is reported of it any more.
 *
 * @param id of the {@link StartPoll} that began it
 */
public record CancelPoll(int id) implements PollAction {}
