package cacheproxy.routing;

/**
 * The endpoints with the highest scores for a key, best first (CARP draft, section 3.4: the draft takes the first;
 * section 3.5: the next is its successor when it can't be contacted). Its arrays are used again for each key.
 */
final class CarpRanking {
    private static final int INITIAL_CAPACITY = 8;

    private EndpointEntry[] top = new EndpointEntry[INITIAL_CAPACITY];
    private double[] topScores = new double[INITIAL_CAPACITY];
    private int count;

    /** Ranks for a key, as deep as is wanted; of two equal scores the earlier in {@code endpoints} is first. */
    void rank(EndpointEntry[] endpoints, int keyHash, int depth) {
        if (top.length < depth) {
            top = new EndpointEntry[depth];
            topScores = new double[depth];
        }
        count = 0;
        for (EndpointEntry endpoint : endpoints) {
            double score = endpoint.score(keyHash);
            if (count == depth && score <= topScores[depth - 1]) {
                continue;
            }
            int last = count < depth ? count++ : depth - 1;
            int rank = firstLowerRank(score, last);
            System.arraycopy(top, rank, top, rank + 1, last - rank);
            System.arraycopy(topScores, rank, topScores, rank + 1, last - rank);
            top[rank] = endpoint;
            topScores[rank] = score;
        }
    }

    /** By bisection: a hot key of a large fleet has hundreds of ranks. */
    private int firstLowerRank(double score, int ranks) {
        int low = 0;
        int high = ranks;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (topScores[middle] < score) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** How many are ranked: the depth, or all endpoints where these are fewer. */
    int count() {
        return count;
    }

    /** The endpoint at this rank, 0 for the best. */
    EndpointEntry at(int rank) {
        return top[rank];
    }
}
