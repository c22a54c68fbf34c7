package cacheproxy.state;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When records are written, and how stored records may be used by their age. */
class RecordStoreTest {
    private static StoredRecord record(RecordKind kind, String text) {
        return new StoredRecord(kind, 5000, new JsonPrimitive(text));
    }

    private static RecordStore storeAfterSnapshot() {
        RecordStore store = new RecordStore(OpenedState.EMPTY, "p", "f");
        assertThat(store.nextWrite(0)).isInstanceOf(StateWrite.Replace.class);
        store.writeSucceeded(0);
        return store;
    }

    @Test
    void urgentRecordsAreWrittenSoonAndLearnedStateIsDelayed() {
        RecordStore store = storeAfterSnapshot();
        assertThat(store.nextWriteAtMs()).isInfinite();
        store.put(1000, record(RecordKind.LEARNED_STATE, "a"));
        assertThat(store.nextWrite(1000)).isNull();
        assertThat(store.nextWriteAtMs()).isEqualTo(6000);
        store.put(1500, record(RecordKind.ENDPOINT_LIST, "b"));
        assertThat(store.nextWriteAtMs()).isEqualTo(1600);
        StateWrite w = store.nextWrite(1600);
        assertThat(new String(((StateWrite.Append) w).bytes(), StandardCharsets.UTF_8))
                .contains("learnt", "list");
        store.put(1601, record(RecordKind.ENDPOINT_LIST, "c"));
        assertThat(store.nextWrite(9000)).as("a write is in progress").isNull();
        store.writeSucceeded(9000);
        assertThat(store.nextWrite(9000)).isNotNull();
    }

    @Test
    void failedWriteIsFollowedBySnapshotWithExponentialBackoff() {
        RecordStore store = storeAfterSnapshot();
        store.put(0, record(RecordKind.ENDPOINT_LIST, "b"));
        assertThat(store.nextWrite(100)).isInstanceOf(StateWrite.Append.class);
        store.writeFailed(100);
        double now = 100;
        for (double wait : new double[] {1000, 2000, 4000}) {
            assertThat(store.nextWrite(now + wait - 1)).isNull();
            now += wait;
            assertThat(store.nextWrite(now)).isInstanceOf(StateWrite.Replace.class);
            store.writeFailed(now);
        }
        assertThat(store.nextWriteAtMs()).isEqualTo(now + 8000);
        assertThat(store.failedWrites()).isEqualTo(4);
    }

    @Test
    void longJournalBecomesSnapshotAndBytesPerMinuteAreBounded() {
        RecordStore store = storeAfterSnapshot();
        String big = "x".repeat(100_000);
        int replaced = 0;
        long urgent = 0;
        for (int i = 1; i <= 120; i++) {
            store.put(i * 100, record(RecordKind.ENDPOINT_LIST, big + i));
            StateWrite w = store.nextWrite(i * 100 + 100);
            replaced += w instanceof StateWrite.Replace ? 1 : 0;
            urgent++;
            store.writeSucceeded(i * 100 + 100);
        }
        assertThat(replaced).isBetween(15, 25);
        assertThat(store.bytesWritten()).isGreaterThan(RecordStore.MAX_BYTES_PER_MINUTE);
        store.put(12_200, record(RecordKind.LEARNED_STATE, "lazy"));
        assertThat(store.nextWriteAtMs())
                .as("changes that are not urgent wait for the next minute")
                .isGreaterThan(40_000);
        store.put(12_200, record(RecordKind.OPERATOR_ORDERS, "urgent"));
        assertThat(store.nextWriteAtMs()).isEqualTo(12_300);
        assertThat(urgent).isEqualTo(120);
    }

    @Test
    void oversizedRecordIsNotKept() {
        RecordStore store = storeAfterSnapshot();
        store.put(0, record(RecordKind.ENDPOINT_LIST, "x".repeat(RecordStore.MAX_RECORD_BYTES + 1)));
        assertThat(store.get(RecordKind.ENDPOINT_LIST)).isNull();
        assertThat(store.oversizedRecords()).isEqualTo(1);
    }

    /** The generation of the files never decreases, whichever process wrote last. */
    @Test
    void generationContinuesAfterAnotherProcess() {
        RecordStore store = new RecordStore(OpenedState.EMPTY, "p", "f");
        store.continueAfter(new StateFileHeader("p", "f", 17, 4));
        StateWrite.Replace w = (StateWrite.Replace) store.nextWrite(0);
        StateFileHeader h =
                StateReader.read(w.snapshot(), w.journal(), "p", "f").header();
        assertThat(h.generation()).isEqualTo(18);
        assertThat(h.starts()).isEqualTo(5);
    }

    /** Ages in seconds; -300 means that the clock was set back by five minutes. */
    @ParameterizedTest
    @CsvSource({
        "INCARNATION,-300,VALID",
        "INCARNATION,1e9,VALID",
        "OPERATOR_ORDERS,-300,VALID",
        "OPERATOR_ORDERS,1e9,VALID",
        "ENDPOINT_LIST,0,VALID",
        "ENDPOINT_LIST,61,HINT",
        "ENDPOINT_LIST,86401,UNUSABLE",
        "ENDPOINT_LIST,-300,UNUSABLE",
        "LEARNED_STATE,29,VALID",
        "LEARNED_STATE,31,HINT",
        "LEARNED_STATE,601,UNUSABLE",
        "LEARNED_STATE,-1,UNUSABLE",
        "ZONE_STATES,59,VALID",
        "ZONE_STATES,61,HINT",
        "ZONE_STATES,1e9,HINT",
        "ZONE_STATES,-300,HINT",
        "ENDPOINT_LIST,NaN,UNUSABLE"
    })
    void validityFollowsFromKindAndAge(RecordKind kind, double seconds, Validity use) {
        assertThat(kind.validity(seconds * 1000)).isEqualTo(use);
    }

    private static OpenedState open(String header, String instance) {
        StateWrite.Replace w = (StateWrite.Replace) new RecordStore(OpenedState.EMPTY, "p", "f").nextWrite(0);
        byte[] snapshot = header == null ? w.snapshot() : header.getBytes(StandardCharsets.UTF_8);
        return StateReader.read(snapshot, null, instance, "f");
    }

    /** Nothing of another instance's folder or of a later version's is used, and a finding reports it. */
    @Test
    void filesOfAnotherInstanceOrVersionAreUnusable() {
        assertThat(open(null, "p").findings()).isEmpty();
        assertThat(open(null, "q").findings()).extracting(Finding::severity).containsExactly(Severity.UNUSABLE);
        assertThat(open(null, "q").findings().get(0))
                .hasToString("snapshot:1: belongs to p of fleet 'f', not to q of fleet 'f'");
        String later = "{\"state\":2}";
        CRC32C crc = new CRC32C();
        crc.update(later.getBytes(StandardCharsets.UTF_8));
        assertThat(open(String.format("%08x %s%n", crc.getValue(), later), "p").findings())
                .extracting(Finding::problem)
                .isEqualTo(List.of("is of version 2, and this program reads 1"));
    }

    /**
     * Guards against a crash between the two steps of a snapshot: a journal of an older generation adds nothing to the
     * snapshot, a journal of a newer generation does.
     */
    @Test
    void journalOfAnotherGenerationAppliesOnlyIfNewer() {
        RecordStore store = new RecordStore(OpenedState.EMPTY, "p", "f");
        store.put(0, record(RecordKind.ENDPOINT_LIST, "old"));
        StateWrite.Replace first = (StateWrite.Replace) store.nextWrite(1000);
        store.writeFailed(1000);
        store.put(1000, record(RecordKind.ENDPOINT_LIST, "new"));
        StateWrite.Replace second = (StateWrite.Replace) store.nextWrite(5000);
        OpenedState behind = StateReader.read(second.snapshot(), first.journal(), "p", "f");
        assertThat(behind.records().get(RecordKind.ENDPOINT_LIST).body().getAsString())
                .isEqualTo("new");
        assertThat(behind.findings()).extracting(Finding::severity).containsExactly(Severity.HARMLESS);
        OpenedState ahead = StateReader.read(first.snapshot(), second.journal(), "p", "f");
        assertThat(ahead.records().get(RecordKind.ENDPOINT_LIST).body().getAsString())
                .isEqualTo("old");
        assertThat(ahead.findings()).extracting(Finding::severity).containsExactly(Severity.RECORDS_LOST);
    }
}
