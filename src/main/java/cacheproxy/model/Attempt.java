package cacheproxy.model;

/** One attempt of a request at a server, as seen by the instance. */
final class Attempt {
    final Ask ask;
    final int index;
    final int server;
    final double sentMs;
    Link link;
    boolean ended;
    /** The instance can tell that the attempt was not executed and never will be. */
    boolean neverRan;
    /** It was a cache miss at a node. */
    boolean missed;

    Attempt(Ask ask, int index, int server, double sentMs) {
        this.ask = ask;
        this.index = index;
        this.server = server;
        this.sentMs = sentMs;
    }
}
