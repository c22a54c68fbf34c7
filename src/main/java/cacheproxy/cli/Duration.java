package cacheproxy.cli;

import cacheproxy.emulator.FaultScript;
import picocli.CommandLine.TypeConversionException;

/** A duration argument such as {@code 300ms}, {@code 20s} or {@code 2m}, in milliseconds. */
record Duration(double ms) {
    static Duration parse(String text) {
        double ms = FaultScript.duration(text);
        if (Double.isNaN(ms)) {
            throw new TypeConversionException("'" + text + "' is no time; name the unit, as in 300ms, 20s or 2m");
        }
        return new Duration(ms);
    }

    double seconds() {
        return ms / 1000;
    }
}
