package cacheproxy.model;

/** One try of a request at a server, as one instance sees it. */
final class Attempt {
    final Ask ask;
    final int index;
    final int server;
    final double sentMs;
    Link link;
    boolean ended;
    /** As far as the instance can know, it has not run and never will. */
    boolean neverRan;
    /** It went to a node, and missed there. */
    boolean missed;

    Attempt(Ask ask, int index, int server, double sentMs) {
        this.ask = ask;
        this.index = index;
        this.server = server;
        this.sentMs = sentMs;
    }
}
