package cacheproxy.state;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.state.Finding.Severity;
import cacheproxy.state.RecordStore.Write;
import com.google.gson.JsonPrimitive;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is written when, and how far what was kept is used. */
class RecordStoreTest {
    private static StoredRecord record(RecordKind kind, String text) {
        return new StoredRecord(kind, 5000, new JsonPrimitive(text));
    }

    private static RecordStore begun() {
        RecordStore k = new RecordStore(OpenedState.EMPTY, "p", "f");
        assertThat(k.next(0)).isInstanceOf(Write.Replace.class);
        k.done(0);
        return k;
    }

    @Test
    void whatIsUrgentIsWrittenSoonAndWhatIsLearntGathered() {
        RecordStore k = begun();
        assertThat(k.dueMs()).isInfinite();
        k.put(1000, record(RecordKind.LEARNT, "a"));
        assertThat(k.next(1000)).isNull();
        assertThat(k.dueMs()).isEqualTo(6000);
        k.put(1500, record(RecordKind.LIST, "b"));
        assertThat(k.dueMs()).isEqualTo(1600);
        Write w = k.next(1600);
        assertThat(new String(((Write.Append) w).bytes(), StandardCharsets.UTF_8))
                .contains("learnt", "list");
        k.put(1601, record(RecordKind.LIST, "c"));
        assertThat(k.next(9000)).as("one is under way").isNull();
        k.done(9000);
        assertThat(k.next(9000)).isNotNull();
    }

    @Test
    void afterAFailureAllOfItIsWrittenAndEachFurtherOneDoublesTheWait() {
        RecordStore k = begun();
        k.put(0, record(RecordKind.LIST, "b"));
        assertThat(k.next(100)).isInstanceOf(Write.Append.class);
        k.failed(100);
        double now = 100;
        for (double wait : new double[] {1000, 2000, 4000}) {
            assertThat(k.next(now + wait - 1)).isNull();
            now += wait;
            assertThat(k.next(now)).isInstanceOf(Write.Replace.class);
            k.failed(now);
        }
        assertThat(k.dueMs()).isEqualTo(now + 8000);
        assertThat(k.failures()).isEqualTo(4);
    }

    @Test
    void aJournalThatHasGrownBecomesASnapshotAndWearIsBounded() {
        RecordStore k = begun();
        String big = "x".repeat(100_000);
        int replaced = 0;
        long urgent = 0;
        for (int i = 1; i <= 120; i++) {
            k.put(i * 100, record(RecordKind.LIST, big + i));
            Write w = k.next(i * 100 + 100);
            replaced += w instanceof Write.Replace ? 1 : 0;
            urgent++;
            k.done(i * 100 + 100);
        }
        assertThat(replaced).isBetween(15, 25);
        assertThat(k.written()).isGreaterThan(RecordStore.MOST_MINUTE);
        k.put(12_200, record(RecordKind.LEARNT, "lazy"));
        assertThat(k.dueMs()).as("what is not urgent waits for the next minute").isGreaterThan(40_000);
        k.put(12_200, record(RecordKind.ORDERS, "urgent"));
        assertThat(k.dueMs()).isEqualTo(12_300);
        assertThat(urgent).isEqualTo(120);
    }

    @Test
    void whatIsTooLongIsNotKept() {
        RecordStore k = begun();
        k.put(0, record(RecordKind.LIST, "x".repeat(RecordStore.MOST_RECORD + 1)));
        assertThat(k.get(RecordKind.LIST)).isNull();
        assertThat(k.dropped()).isEqualTo(1);
    }

    /** An epoch of the files never goes back, whoever wrote last. */
    @Test
    void whatAnotherProcessWroteComesBefore() {
        RecordStore k = new RecordStore(OpenedState.EMPTY, "p", "f");
        k.after(new StateFileHeader("p", "f", 17, 4));
        Write.Replace w = (Write.Replace) k.next(0);
        StateFileHeader h =
                OpenedState.read(w.snapshot(), w.journal(), "p", "f").header();
        assertThat(h.generation()).isEqualTo(18);
        assertThat(h.starts()).isEqualTo(5);
    }

    /** Ages in seconds; -300 is a clock that was set back by five minutes. */
    @ParameterizedTest
    @CsvSource({
        "INCARNATION,-300,HOLDS",
        "INCARNATION,1e9,HOLDS",
        "ORDERS,-300,HOLDS",
        "ORDERS,1e9,HOLDS",
        "LIST,0,HOLDS",
        "LIST,61,HINT",
        "LIST,86401,NOTHING",
        "LIST,-300,NOTHING",
        "LEARNT,29,HOLDS",
        "LEARNT,31,HINT",
        "LEARNT,601,NOTHING",
        "LEARNT,-1,NOTHING",
        "ZONES,59,HOLDS",
        "ZONES,61,HINT",
        "ZONES,1e9,HINT",
        "ZONES,-300,HINT",
        "LIST,NaN,NOTHING"
    })
    void whatWasKeptIsUsedAsFarAsItsAgeAllows(RecordKind kind, double seconds, Validity use) {
        assertThat(kind.use(seconds * 1000)).isEqualTo(use);
    }

    private static OpenedState open(String head, String instance) {
        Write.Replace w = (Write.Replace) new RecordStore(OpenedState.EMPTY, "p", "f").next(0);
        byte[] snapshot = head == null ? w.snapshot() : head.getBytes(StandardCharsets.UTF_8);
        return OpenedState.read(snapshot, null, instance, "f");
    }

    /** Of another's folder or a later version's nothing is used, and it is told. */
    @Test
    void whatIsAnothersIsOfNoUse() {
        assertThat(open(null, "p").findings()).isEmpty();
        assertThat(open(null, "q").findings()).extracting(Finding::harm).containsExactly(Severity.ALL);
        assertThat(open(null, "q").findings().get(0))
                .hasToString("snapshot:1: belongs to p of fleet 'f', not to q of fleet 'f'");
        String later = "{\"state\":2}";
        CRC32C crc = new CRC32C();
        crc.update(later.getBytes(StandardCharsets.UTF_8));
        assertThat(open(String.format("%08x %s%n", crc.getValue(), later), "p").findings())
                .extracting(Finding::what)
                .isEqualTo(List.of("is of version 2, and this program reads 1"));
    }

    /** The two steps of a snapshot: a journal that is behind says nothing new, one that is ahead does. */
    @Test
    void aJournalOfAnotherGenerationIsTakenOnlyIfItIsAhead() {
        RecordStore k = new RecordStore(OpenedState.EMPTY, "p", "f");
        k.put(0, record(RecordKind.LIST, "old"));
        Write.Replace first = (Write.Replace) k.next(1000);
        k.failed(1000);
        k.put(1000, record(RecordKind.LIST, "new"));
        Write.Replace second = (Write.Replace) k.next(5000);
        OpenedState behind = OpenedState.read(second.snapshot(), first.journal(), "p", "f");
        assertThat(behind.records().get(RecordKind.LIST).body().getAsString()).isEqualTo("new");
        assertThat(behind.findings()).extracting(Finding::harm).containsExactly(Severity.NONE);
        OpenedState ahead = OpenedState.read(first.snapshot(), second.journal(), "p", "f");
        assertThat(ahead.records().get(RecordKind.LIST).body().getAsString()).isEqualTo("old");
        assertThat(ahead.findings()).extracting(Finding::harm).containsExactly(Severity.SOME);
    }
}
