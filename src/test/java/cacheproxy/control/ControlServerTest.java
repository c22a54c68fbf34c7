package cacheproxy.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.Await;
import cacheproxy.proxy.Transport;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class ControlServerTest {
    @TempDir
    private Path folder;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final ControlRegistry registry = new ControlRegistry();
    private final AtomicInteger floods = new AtomicInteger();
    private Path path;
    private ControlServer server;

    @BeforeEach
    void open() throws IOException {
        path = folder.resolve("control");
        registry.command("echo", arguments -> arguments.toJson());
        registry.command("flood", arguments -> {
            JsonObject o = new JsonObject();
            floods.incrementAndGet();
            o.addProperty("text", "x".repeat(60_000));
            return o;
        });
        registry.section("part", JsonObject::new);
        server = new ControlServer(loop, path, registry);
    }

    @AfterEach
    void close() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private SocketChannel raw(String text) throws IOException {
        SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
        channel.connect(UnixDomainSocketAddress.of(path));
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return channel;
    }

    private static String line(SocketChannel channel) throws IOException {
        StringBuilder line = new StringBuilder();
        ByteBuffer one = ByteBuffer.allocate(1);
        while (channel.read(one) == 1) {
            if (one.get(0) == '\n') {
                return line.toString();
            }
            line.append((char) one.get(0));
            one.clear();
        }
        return null;
    }

    private void assertServes() throws IOException {
        try (ControlClient client = new ControlClient(path)) {
            assertThat(client.call(ControlClient.request("status")).has("part")).isTrue();
        }
    }

    @Test
    void commandsAndSectionsAnswerTheOwnerOnly() throws Exception {
        assertServes();
        assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(path)))
                .isEqualTo("rw-------");
        try (var files = Files.list(folder)) {
            assertThat(files).containsExactly(path);
        }
        try (ControlClient client = new ControlClient(path)) {
            assertThat(client.call(ControlClient.request("help"))
                            .get("commands")
                            .getAsString())
                    .isEqualTo("echo flood help status");
        }
        assertThatThrownBy(() -> registry.command("echo", a -> a.toJson())).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void malformedRequestIsAnsweredAndConnectionStaysOpen() throws Exception {
        try (SocketChannel channel = raw("nonsense\n[1]\n{\n{}\n{\"v\":2,\"command\":\"echo\"}\n{\"v\":\"1\"}\n"
                + "{\"v\":1,\"command\":[]}\n{\"v\":1,\"command\":\"no\"}\n{\"v\":1,\"command\":\"echo\"}\n")) {
            String[] words = {
                "not a JSON",
                "not a JSON",
                "not a JSON",
                "version 1",
                "version 1",
                "version 1",
                "no command",
                "there are: echo",
                "\"ok\":true"
            };
            for (String word : words) {
                assertThat(line(channel)).contains(word);
            }
        }
        assertThatThrownBy(() -> new CommandArguments(new JsonObject()).number("deadline_ms"))
                .hasMessageContaining("'deadline_ms' is to be a number");
    }

    @Test
    void overlongLineClosesItsConnectionOnly() throws Exception {
        try (SocketChannel channel = raw("x".repeat(ControlServer.MAX_LINE_BYTES + 10))) {
            assertThat(line(channel)).contains("a line of more than");
            assertThat(line(channel)).isNull();
        }
        assertServes();
    }

    @Test
    void incompleteRequestAndIdleConnectionsAreTolerated() throws Exception {
        List<SocketChannel> silent = new ArrayList<>();
        silent.add(raw("{\"v\":1,\"comm"));
        for (int i = 0; i < 100; i++) {
            silent.add(raw(""));
        }
        assertServes();
        for (SocketChannel channel : silent) {
            channel.configureBlocking(false);
        }
        Await.until(
                "the oldest have been closed",
                () -> silent.stream()
                                .filter(c -> {
                                    try {
                                        return c.read(ByteBuffer.allocate(1)) < 0;
                                    } catch (IOException e) {
                                        return true;
                                    }
                                })
                                .count()
                        >= 101 - ControlServer.MAX_CONNECTIONS);
        assertServes();
        for (SocketChannel channel : silent) {
            channel.close();
        }
    }

    @Test
    void clientThatStopsReadingIsClosed() throws Exception {
        try (SocketChannel channel = raw("")) {
            channel.configureBlocking(false);
            ByteBuffer ask = ByteBuffer.wrap("{\"v\":1,\"command\":\"flood\"}\n".getBytes(UTF_8));
            Await.until("it is closed", () -> {
                try {
                    for (int i = 0; i < 50; i++) {
                        channel.write(ask.rewind());
                    }
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }
        assertThat(floods.get()).as("answers that were buffered for it").isBetween(1, 100);
        assertServes();
    }

    @Test
    void liveSocketIsKeptAndStaleOneReplaced() throws Exception {
        assertThatThrownBy(() -> new ControlServer(loop, path, registry)).hasMessageContaining("somebody listens");
        assertServes();
        Path stale = folder.resolve("stale");
        try (ServerSocketChannel socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            socket.bind(UnixDomainSocketAddress.of(stale));
        }
        assertThat(stale).exists();
        try (ControlServer second = new ControlServer(loop, stale, registry);
                ControlClient client = new ControlClient(stale)) {
            assertThat(client.call(ControlClient.request("status")).has("part")).isTrue();
        }
        assertThat(stale).doesNotExist();
    }

    @Test
    void fileMissingFolderAndLongPathAreRefused() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "mine");
        assertThatThrownBy(() -> new ControlServer(loop, file, registry)).hasMessageContaining("no socket");
        assertThat(file).hasContent("mine");
        assertThatThrownBy(() -> new ControlServer(loop, folder.resolve("none/control"), registry))
                .hasMessageContaining("no folder");
        assertThatThrownBy(() -> new ControlServer(loop, folder.resolve("x".repeat(100)), registry))
                .hasMessageContaining("too long");
        assertThatThrownBy(() -> new ControlClient(folder.resolve("nobody"))).hasMessageContaining("no proxy listens");
    }
}
