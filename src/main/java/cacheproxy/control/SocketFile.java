package cacheproxy.control;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermissions;

/**
 * The file of a control socket. Only its owner can connect, and a socket that a process listens on is not replaced. The
 * socket is bound in a temporary folder that only the owner may enter, and moved to its path once its mode is set: if
 * it were bound at its path, other users could connect before that.
 */
final class SocketFile {
    /** The maximum length of the path of a Unix domain socket (sun_path without its terminator), in bytes. */
    private static final int MAX_PATH_BYTES = 107;

    private final Path path;
    private final Path folder;
    private Object key;

    private SocketFile(Path path, Path folder) {
        this.path = path;
        this.folder = folder;
    }

    /**
     * Prepares a socket at this path.
     *
     * @throws IOException if the path is in use or too long, or its folder does not exist
     */
    static SocketFile prepare(Path wanted) throws IOException {
        Path path = wanted.toAbsolutePath();
        if (Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
            if (!Files.readAttributes(path, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS)
                    .isOther()) {
                throw new IOException(path + " exists and is no socket; choose another path");
            }
            if (isListening(path)) {
                throw new IOException("somebody listens at " + path + "; is this proxy running already?");
            }
        }
        if (path.getParent() == null || !Files.isDirectory(path.getParent())) {
            throw new IOException("no folder " + path.getParent() + " for the control socket");
        }
        Path folder = Files.createTempDirectory(
                path.getParent(),
                ".c",
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        SocketFile file = new SocketFile(path, folder);
        if (tooLong(file.temporary()) || tooLong(path)) {
            Files.delete(folder);
            throw new IOException("the path " + path + " is too long for a socket; " + MAX_PATH_BYTES
                    + " bytes at most, some 25 of them for a temporary folder beside it");
        }
        return file;
    }

    private static boolean tooLong(Path path) {
        return path.toString().getBytes(StandardCharsets.UTF_8).length > MAX_PATH_BYTES;
    }

    private static boolean isListening(Path path) {
        try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return channel.connect(UnixDomainSocketAddress.of(path));
        } catch (IOException e) {
            return false;
        }
    }

    /** The path to bind the socket to. */
    Path temporary() {
        return folder.resolve("s");
    }

    /** Sets the mode of the bound socket and moves it to its path. */
    void publish() throws IOException {
        Files.setPosixFilePermissions(temporary(), PosixFilePermissions.fromString("rw-------"));
        key = fileKey(temporary());
        Files.move(temporary(), path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Files.delete(folder);
    }

    private static Object fileKey(Path of) throws IOException {
        return Files.readAttributes(of, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS)
                .fileKey();
    }

    /** Deletes the file if it is still this socket's. */
    void remove() {
        try {
            if (key != null && key.equals(fileKey(path))) {
                Files.delete(path);
            }
        } catch (IOException e) {
            // The file has already been deleted.
        }
    }
}
