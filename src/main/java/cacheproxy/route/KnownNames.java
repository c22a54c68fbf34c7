package cacheproxy.route;

import java.util.List;

/**
 * What an instance knows and routes may name.
 *
 * @param classes of requests
 * @param tenants whose requests are told apart; none where they are not
 * @param sites where servers stand
 * @param kinds of servers
 */
public record KnownNames(List<String> classes, List<String> tenants, List<String> sites, List<String> kinds) {}
