package cacheproxy.state;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.GoldenFile;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The stored form: state folders of earlier processes, intact and damaged, are written and read in the pinned form. */
class StoredFormTest {
    private static final String INSTANCE = "proxy-3";
    private static final String FLEET = "edge";
    private static final double RECORDED_MS = 1_700_000_000_000.0;
    private static final double NOW_MS = RECORDED_MS + 45_000;

    private static StoredRecord record(RecordKind kind, double recordedAtMs, String body) {
        JsonElement json = JsonParser.parseString(body);
        return new StoredRecord(kind, recordedAtMs, json);
    }

    private static String host(String name, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:9\",\"site\":\"east\",\"class\":\"node-fast\","
                + "\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** The two files after a snapshot of all kinds and a journal of two records. */
    private static byte[][] written() {
        RecordStore store = new RecordStore(OpenedState.EMPTY, INSTANCE, FLEET);
        store.put(0, record(RecordKind.INCARNATION, RECORDED_MS, "17"));
        store.put(
                0,
                record(
                        RecordKind.ENDPOINT_LIST,
                        RECORDED_MS + 1,
                        "{\"seq\":43,\"whole\":true,\"hosts\":[" + host("s-0000beef", "up") + ","
                                + host("s-0000bef0", "draining") + "]}"));
        store.put(0, record(RecordKind.LEARNED_STATE, RECORDED_MS + 2, GoldenFile.text("proxy/learned-state.json")));
        store.put(
                0,
                record(
                        RecordKind.ZONE_STATES,
                        RECORDED_MS + 3,
                        "{\"east\":{\"epoch\":4,\"open\":15,\"cause\":\"evidence\",\"leaves\":1,\"floor\":4}}"));
        store.put(
                0,
                record(
                        RecordKind.OPERATOR_ORDERS,
                        RECORDED_MS + 4,
                        "{\"west\":{\"epoch\":9,\"open\":0,\"cause\":\"leave\",\"leaves\":2,\"floor\":9}}"));
        StateWrite.Replace first = (StateWrite.Replace) store.nextWrite(0);
        store.writeSucceeded(0);
        ByteArrayOutputStream journal = new ByteArrayOutputStream();
        journal.writeBytes(first.journal());
        store.put(1, record(RecordKind.LEARNED_STATE, RECORDED_MS + 40_000.5, "{}"));
        store.put(
                1, record(RecordKind.ENDPOINT_LIST, RECORDED_MS + 40_001, "{\"seq\":44,\"whole\":true,\"hosts\":[]}"));
        journal.writeBytes(((StateWrite.Append) store.nextWrite(10_000)).bytes());
        return new byte[][] {first.snapshot(), journal.toByteArray()};
    }

    @Test
    void filesAreWrittenAsPinned() {
        byte[][] files = written();
        GoldenFile.assertText("state/sound/snapshot", new String(files[0], StandardCharsets.UTF_8));
        GoldenFile.assertText("state/sound/journal", new String(files[1], StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "sound",
                "journal-torn",
                "journal-damaged",
                "journal-of-older-snapshot",
                "journal-of-newer-snapshot",
                "journal-header-torn",
                "no-journal",
                "no-snapshot",
                "snapshot-damaged",
                "snapshot-torn",
                "snapshot-header-damaged",
                "snapshot-not-a-record",
                "snapshot-unknown-kind",
                "snapshot-not-of-state",
                "older-version",
                "later-version",
                "other-instance",
                "other-fleet",
                "other-bodies",
                "empty-files"
            })
    void folderIsReadAsPinned(String folder) {
        OpenedState opened = new StateFolder(GoldenFile.path("state/" + folder)).read(INSTANCE, FLEET);
        StateReport report = new StateReport(opened, NOW_MS);
        GoldenFile.assertJson("state/" + folder + "/inspection.json", report.toJson());
        GoldenFile.assertText("state/" + folder + "/inspection.txt", report.toText());
    }

    /** How each kind may be used by its age, which decides what a starting process uses. */
    @Test
    void validityByAgeIsAsPinned() {
        StringBuilder table = new StringBuilder();
        double[] agesMs = {
            Double.NaN, -1, 0, 30_000, 30_001, 60_000, 60_001, 600_000, 600_001, 86_400_000, 86_400_001, 1e15
        };
        for (RecordKind kind : RecordKind.values()) {
            table.append(kind.wireName()).append(':');
            for (double age : agesMs) {
                StoredRecord r = new StoredRecord(kind, 0, JsonParser.parseString("1"));
                OpenedState opened =
                        new OpenedState(new StateFileHeader(INSTANCE, FLEET, 1, 1), Map.of(kind, r), List.of());
                String use = new StateReport(opened, age)
                        .toJson()
                        .getAsJsonArray("records")
                        .get(0)
                        .getAsJsonObject()
                        .get("use")
                        .getAsString();
                table.append(' ').append(age).append('=').append(use);
            }
            table.append('\n');
        }
        assertThat(table).isNotEmpty();
        GoldenFile.assertText("state/use-by-age.txt", table.toString());
    }
}
