package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.GoldenFile;
import cacheproxy.control.ControlRegistry;
import cacheproxy.control.ControlServer;
import cacheproxy.proxy.Transport;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The text that {@code status} and {@code state} print must equal the recorded text. */
@Timeout(60)
class OperatorTextTest extends Terminal {
    @TempDir
    private Path folder;

    @Test
    void statusAndMembersPrintAsPinned() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        ControlRegistry registry = new ControlRegistry();
        JsonObject status = GoldenFile.json("operators/status.json").getAsJsonObject();
        status.keySet().forEach(name -> registry.section(name, () -> status.getAsJsonObject(name)));
        JsonObject view = GoldenFile.json("operators/view.json").getAsJsonObject();
        registry.command("view", arguments -> view);
        String path = folder.resolve("c").toString();
        try (ControlServer server = new ControlServer(group.next(), Path.of(path), registry)) {
            assertThat(run("status", "--control", path)).as(err).isZero();
            GoldenFile.assertText("operators/status.txt", out);
            assertThat(run("status", "--control", path, "--members")).as(err).isZero();
            GoldenFile.assertText("operators/view.txt", out);
            assertThat(run("status", "--control", path, "--json")).as(err).isZero();
            assertThat(JsonParser.parseString(out)).isEqualTo(status);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** Copies a recorded state folder, as {@code repair} modifies it. */
    private String copy(String name) throws Exception {
        Path copy = Files.createDirectory(folder.resolve(name));
        for (String file : new String[] {"snapshot", "journal"}) {
            Files.write(copy.resolve(file), GoldenFile.bytes("state/" + name + "/" + file));
        }
        return copy.toString();
    }

    @Test
    void stateFolderIsCheckedAndRepairedAsPinned() throws Exception {
        StringBuilder all = new StringBuilder();
        for (String name : new String[] {"sound", "snapshot-damaged", "later-version"}) {
            String path = copy(name);
            for (String command : new String[] {"check", "repair", "check"}) {
                int code = run("state", command, path);
                all.append("> state ")
                        .append(command)
                        .append(' ')
                        .append(name)
                        .append(": ")
                        .append(code)
                        .append('\n');
                all.append(out).append(err);
            }
        }
        GoldenFile.assertText("operators/state-command.txt", all.toString());
    }
}
