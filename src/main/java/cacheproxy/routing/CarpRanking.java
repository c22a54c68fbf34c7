package cacheproxy.routing;

/**
 * The endpoints with the highest scores for a key, in descending order. The CARP draft selects the first (section 3.4),
 * or its successor if it can't be contacted (section 3.5). The arrays are reused for each key.
 */
final class CarpRanking {
    private static final int INITIAL_CAPACITY = 8;

    private EndpointEntry[] top = new EndpointEntry[INITIAL_CAPACITY];
    private double[] topScores = new double[INITIAL_CAPACITY];
    private int count;

    /** Ranks endpoints for a key, up to the given depth; ties keep the order of {@code endpoints}. */
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

    /** The first rank with a lower score; a binary search, as a hot key in a large fleet has hundreds of ranks. */
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

    /** The number of ranks: the depth, or the number of endpoints if that is lower. */
    int count() {
        return count;
    }

    /** The endpoint at this rank; rank 0 has the highest score. */
    EndpointEntry at(int rank) {
        return top[rank];
    }
}
