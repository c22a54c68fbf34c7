package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The {@code config} commands, run through the command line. */
class ConfigCommandTest {
    private static final String PROXY = "src/test/resources/config.json";

    @TempDir
    private Path folder;

    private final Terminal terminal = new Terminal();
    private String out;
    private String err;

    private int run(Object... words) {
        String[] args = new String[words.length + 1];
        args[0] = "config";
        for (int i = 0; i < words.length; i++) {
            args[i + 1] = words[i].toString();
        }
        int code = terminal.run(args);
        out = terminal.out;
        err = terminal.err.replace(folder + "/", "");
        return code;
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    @Test
    void checkReportsAllMistakesWithLineCaretAndFix() throws IOException {
        Path file = write("a.conf", "pool \"fast\" {}\nroute \"r\" {\n  pool = fats\n  key = 7\n}\n");
        assertThat(run("check", file)).isEqualTo(1);
        assertThat(err)
                .isEqualTo(String.join(
                        "\n",
                        "a.conf:3:10: no pool is called \"fats\"",
                        "     3 |   pool = fats",
                        "       |          ^",
                        "  fix: did you mean fast?",
                        "a.conf:4:9: '7' where a string belongs",
                        "     4 |   key = 7",
                        "       |         ^",
                        "  fix: put it in quotes: \"7\"",
                        "2 mistakes",
                        ""));
    }

    @Test
    void checkValidatesNamesAndServersAgainstAnInstance() throws IOException {
        Path file = write("a.conf", "pool p { site = tan-thaun } route r { pool = p class = seg-txt }");
        assertThat(run("check", file)).isZero();
        assertThat(out).contains("1 pools, 0 policies, 1 routes, hash ");
        assertThat(run("check", file, "--with", PROXY)).isEqualTo(1);
        assertThat(err).contains("did you mean tan-thuan?", "did you mean seg-text?");
        Path empty = write("b.conf", "pool p { site = thu-duc } route r { pool = p }");
        assertThat(run("check", empty, "--with", PROXY)).isEqualTo(1);
        assertThat(err).contains("b.conf:1:1: pool \"p\" selects none of the 1 servers");
    }

    @Test
    void formatRewritesAFileInPlaceAndKeepsItsPermissions() throws IOException {
        Path file = write("a.conf", "pool p{}\nroute r{pool=p}# why\n");
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-r-----"));
        Path link = Files.createSymbolicLink(folder.resolve("link"), file);
        assertThat(run("format", "--check", link)).isEqualTo(1);
        assertThat(Files.readString(file)).startsWith("pool p{}");
        assertThat(run("format", "--stdout", link)).isZero();
        String wanted = "pool p {}\n\nroute r {\n  pool = p\n}  # why\n";
        assertThat(out).isEqualTo(wanted);
        assertThat(run("format", link)).isZero();
        assertThat(Files.isSymbolicLink(link)).isTrue();
        assertThat(Files.readString(file)).isEqualTo(wanted);
        assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(file)))
                .isEqualTo("rw-r-----");
        assertThat(run("format", "--check", link)).isZero();
        assertThat(folder.toFile().list()).containsExactlyInAnyOrder("a.conf", "link");
        Path wrong = write("b.conf", "pool p {");
        assertThat(run("format", wrong)).isEqualTo(1);
        assertThat(Files.readString(wrong)).isEqualTo("pool p {");
    }

    @Test
    void diffNamesTheAffectedTrafficAndPrintsNothingWithoutAChange() throws IOException {
        Path a = write(
                "a.conf",
                "pool p {} policy y { deadline = 1s } route r { key = \"k*\" pool = p policy = y } "
                        + "route old { pool = p }");
        Path same = write(
                "b.conf",
                "route old { pool = p } route r { policy = \"y\" pool = p key = \"k*\" } "
                        + "defaults policy { deadline = 1000ms } policy y {} pool p {}");
        assertThat(run("diff", a, same)).isZero();
        assertThat(out).isEmpty();
        Path other = write(
                "c.conf",
                "pool p {} policy y { deadline = 2s } route r { key = \"k*\" pool = p policy = y } "
                        + "route new { pool = p } route x { key = \"x\" class = c pool = p }");
        assertThat(run("diff", a, other)).isEqualTo(1);
        assertThat(out.replace(folder + "/", ""))
                .isEqualTo(String.join(
                        "\n",
                        "~ policy \"y\" (a.conf:1, c.conf:1)",
                        "    deadline: 1000ms -> 2000ms",
                        "    for keys k* (route r)",
                        "= route \"old\" is now called route \"new\"; otherwise alike",
                        "+ route \"x\" (c.conf:1)",
                        "    for key x, class c",
                        ""));
        assertThat(run("diff", a, write("d.conf", "x"))).isEqualTo(2);
    }

    @Test
    void showPrintsTheOriginOfEachValue() throws IOException {
        Path file = write(
                "a.conf",
                "defaults policy { deadline = 1s attempts = 2 }\npool p {}\n"
                        + "policy y { deadline = 3s }\nroute r { pool = p policy = y }\n");
        assertThat(run("show", "--effective", file)).isZero();
        assertThat(out.replace(folder + "/", ""))
                .contains(
                        "deadline = 3000ms  # instead of 1000ms, a.conf:1",
                        "attempts = 2  # default, a.conf:1",
                        "copies = on  # built in");
    }

    @Test
    void explainPrintsRoutePoolServersPolicyAndReasons() throws IOException {
        Path file = write(
                "a.conf",
                "pool p { site = tan-thuan } pool q {} policy y { deadline = 3s }\n"
                        + "route k { key = \"k/*\" pool = p fallback = q policy = y } route c { class = seg-text pool = q }");
        assertThat(run("explain", file, "--key", "k/1", "--class", "seg-text", "--with", PROXY))
                .isZero();
        assertThat(out.lines())
                .containsExactly(
                        "route     k (keys k/*)",
                        "          before c (any key, class seg-text): it names keys",
                        "pool      p (site tan-thuan)",
                        "servers   s-5be2a07c",
                        "fallback  q (all servers)",
                        "servers   s-5be2a07c",
                        "policy    y, deadline 3000.0 ms");
        assertThat(run("explain", file, "--key", "x")).isZero();
        assertThat(out.lines())
                .containsExactly(
                        "route     none matches: all servers, by the settings' own policy",
                        "servers   not known without an instance's configuration (--with)");
    }
}
