package cacheproxy.cli;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Runs command lines and keeps the output of the last one; base class of tests. */
class Terminal {
    String out;
    String err;

    /** Runs a command line and returns its exit code. */
    int run(String... args) {
        StringWriter o = new StringWriter();
        StringWriter e = new StringWriter();
        int code = Cli.run(new PrintWriter(o, true), new PrintWriter(e, true), args);
        out = o.toString();
        err = e.toString();
        return code;
    }
}
