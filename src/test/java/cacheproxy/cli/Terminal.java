package cacheproxy.cli;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Runs command lines and keeps what the last one printed; for tests that extend it. */
class Terminal {
    String out;
    String err;

    /** Its exit code. */
    int run(String... args) {
        StringWriter o = new StringWriter();
        StringWriter e = new StringWriter();
        int code = Cli.run(new PrintWriter(o, true), new PrintWriter(e, true), args);
        out = o.toString();
        err = e.toString();
        return code;
    }
}
