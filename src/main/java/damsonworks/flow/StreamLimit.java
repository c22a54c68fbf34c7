package damsonworks.flow;

/**
 * How many long answers are passed on at a time. Each has its server's connection to itself for as long as its client
 * takes to read it, and a server accepts only so many: without a limit, slow readers take all of them, and what else is
 * asked of that server waits behind an answer of 4 MiB. Some connections to each server are therefore never theirs.
 *
 * @param atServer at one server, 1 or more
 * @param inAll    at all servers together, 1 or more
 */
public record StreamLimit(int atServer, int inAll) {
    /** Checks the ranges. */
    public StreamLimit {
        if (atServer < 1 || inAll < 1) {
            throw new IllegalArgumentException(atServer + " long answers at a server and " + inAll
                    + " in all; 1 or more of each");
        }
    }

    /**
     * Leaves a server half of the connections that it has ordinarily, and all servers half of the process's.
     *
     * @param ordinary connections to one server where no long answer is passed on, 1 or more
     * @param most     connections to one server at all, no fewer than that
     * @param all      connections to all servers together
     */
    public static StreamLimit of(int ordinary, int most, int all) {
        return new StreamLimit(Math.max(1, most - Math.max(1, ordinary / 2)), Math.max(1, all / 2));
    }

    /** Whether one more may begin beside so many at its server and in all. */
    public boolean admits(int streamsAtServer, int streamsInAll) {
        return streamsAtServer < atServer && streamsInAll < inAll;
    }
}
