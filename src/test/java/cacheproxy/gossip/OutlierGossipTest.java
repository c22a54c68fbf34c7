package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.OutlierGossip.ReportedNode;
import org.junit.jupiter.api.Test;

class OutlierGossipTest {
    private final OutlierGossip gossip = new OutlierGossip();

    private static ReportedNode node(int id) {
        return new ReportedNode(id, 0, 8);
    }

    @Test
    void reportsOfThreePeersInTwoZonesMakeAnOutlier() {
        assertThat(gossip.onReport(0, 1, 1, node(7), 11, 4)).isFalse();
        assertThat(gossip.onReport(10, 1, 1, node(7), 11, 4))
                .as("second report of the same peer")
                .isFalse();
        assertThat(gossip.onReport(20, 5, 1, node(7), 11, 4)).isFalse();
        assertThat(gossip.onReport(30, 9, 1, node(7), 11, 4))
                .as("all reports from one zone")
                .isFalse();
        assertThat(gossip.onReport(40, 2, 2, node(7), 11, 4)).isTrue();
        assertThat(gossip.onReport(50, 3, 3, node(7), 11, 4))
                .as("already an outlier")
                .isFalse();
    }

    @Test
    void expiredReportsDoNotCount() {
        gossip.onReport(0, 1, 1, node(7), 11, 4);
        gossip.onReport(0, 2, 2, node(7), 11, 4);
        assertThat(gossip.onReport(OutlierGossip.REPORT_TTL_MS + 1, 3, 3, node(7), 11, 4))
                .isFalse();
    }

    /**
     * If a hundred peers observe an unresponsive node, some report it, and the others add nothing while those reports
     * are recent.
     */
    @Test
    void aWidelyReportedNodeNeedsNoFurtherReport() {
        for (int peer = 0; peer < OutlierGossip.SUFFICIENT_REPORTERS; peer++) {
            assertThat(gossip.isWidelyReported(10 * peer, 7)).isFalse();
            gossip.onReport(10 * peer, peer, 1 + peer % 2, node(7), 99, 4);
        }
        assertThat(gossip.isWidelyReported(100, 7)).isTrue();
        assertThat(gossip.isWidelyReported(100, 8)).isFalse();
        assertThat(gossip.isWidelyReported(OutlierGossip.REPORT_TTL_MS / 2 + 100, 7))
                .as("reports have to be repeated while the fault lasts")
                .isFalse();
        for (int peer = 0; peer < OutlierGossip.SUFFICIENT_REPORTERS; peer++) {
            gossip.onReport(0, peer, 1, node(9), 99, 4);
        }
        assertThat(gossip.isWidelyReported(1, 9))
                .as("reports from one zone only")
                .isFalse();
    }

    /** Wrong reports by three peers make at most a quarter of a zone outliers. */
    @Test
    void noReportsMakeMoreThanAFractionOfAZoneOutliers() {
        int outliers = 0;
        for (int id = 0; id < 8; id++) {
            for (int peer = 1; peer <= 3; peer++) {
                outliers += gossip.onReport(id, peer, peer, node(id), 11, 4) ? 1 : 0;
            }
        }
        assertThat(outliers).isEqualTo(8 / OutlierGossip.ZONE_FRACTION);
        assertThat(gossip.onReport(9, 1, 1, new ReportedNode(99, 1, 8), 11, 4)).isFalse();
        assertThat(gossip.onReport(9, 2, 2, new ReportedNode(99, 1, 8), 11, 4)).isFalse();
    }

    @Test
    void eachOf1100ReportedNodesIsAnOutlier() {
        int outliers = 0;
        for (int id = 0; id < 1100; id++) {
            for (int peer = 0; peer < OutlierGossip.MIN_REPORTERS; peer++) {
                outliers += gossip.onReport(
                                0, peer, peer, new ReportedNode(id, 0, 1100 * OutlierGossip.ZONE_FRACTION), 1024, 4)
                        ? 1
                        : 0;
            }
        }
        assertThat(outliers).isEqualTo(1100);
    }
}
