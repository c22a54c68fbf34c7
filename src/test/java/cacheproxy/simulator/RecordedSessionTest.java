package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.api.Test;

/**
 * Replays a recorded session of three instances over 15 s, with faults of endpoints, zones, the origin and discovery
 * and with clients that disconnect. The replies must be identical byte for byte, which detects any change of the wire
 * format or of a decision.
 */
class RecordedSessionTest {
    @Test
    void repliesAreIdenticalByteForByte() throws IOException {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(recorded("session-in.bin.gz")), replies).run();
        assertThat(replies.toByteArray()).isEqualTo(recorded("session-out.bin.gz"));
    }

    private static byte[] recorded(String name) throws IOException {
        try (InputStream file = RecordedSessionTest.class.getResourceAsStream("/simulator/" + name);
                InputStream bytes = new GZIPInputStream(file)) {
            return bytes.readAllBytes();
        }
    }
}
