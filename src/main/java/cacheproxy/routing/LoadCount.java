package cacheproxy.routing;

/** What was asked for and what came in time of that; both fade. */
public record LoadCount(double requested, double completedInTime) {}
