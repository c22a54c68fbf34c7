package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Parses fault scripts: one fault per line, {@code AT TARGET ACTION [LENGTH] [SHARE%]}; {@code #} starts a comment.
 *
 * <pre>
 * 5s    node-3     stall 2s
 * 8s    node-*     spoil 3s 10%
 * 10s   discovery  down 8s
 * 12s   proxy-1    kill 1s
 * </pre>
 */
public final class FaultScript {
    /** The maximum number of faults in a script. */
    static final int MAX_FAULTS = 10_000;

    /** An invalid script: lists every invalid line with its number and a suggested fix. */
    public static final class ScriptException extends Exception {
        private static final long serialVersionUID = 1L;

        ScriptException(List<String> messages) {
            super(String.join(System.lineSeparator(), messages));
        }
    }

    private final String name;
    private final Parties parties;
    private final List<String> errors = new ArrayList<>();

    private FaultScript(String name, FleetSpec spec) {
        this.name = name;
        parties = new Parties(spec);
    }

    /** Parses a script for a fleet; returns its faults ordered by time. {@code name} is the file's name in messages. */
    public static List<Fault> parse(String name, List<String> lines, FleetSpec spec) throws ScriptException {
        FaultScript script = new FaultScript(name, spec);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replaceFirst("#.*", "").trim();
            if (!line.isEmpty()) {
                script.line(i + 1, line.split("\\s+"), faults);
            }
        }
        if (faults.size() > MAX_FAULTS) {
            script.errors.add(name + ": " + faults.size() + " faults; " + MAX_FAULTS + " at most");
        }
        if (!script.errors.isEmpty()) {
            throw new ScriptException(script.errors);
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        return List.copyOf(faults);
    }

    private void line(int number, String[] words, List<Fault> out) {
        if (words.length < 3) {
            error(number, "a fault has a time, a target and an action", "5s node-0 stall 2s");
            return;
        }
        double at = duration(words[0]);
        if (Double.isNaN(at)) {
            error(number, "'" + words[0] + "' is no time", unit(words[0]));
            return;
        }
        Fault.Action action = action(words[2]);
        if (action == null) {
            error(number, "'" + words[2] + "' is no action", nearest(words[2]));
            return;
        }
        List<String> targets = parties.match(words[1]);
        if (targets.isEmpty()) {
            error(number, "'" + words[1] + "' is no part of this fleet", parties.hint());
            return;
        }
        if (!action.fits(targets.get(0))) {
            error(number, words[2] + " does not go with " + words[1], words[2] + " is for: " + action.targets());
            return;
        }
        int wants = 3 + (action.lasts() ? 1 : 0) + (action.shared() ? 1 : 0);
        if (words.length != wants) {
            error(
                    number,
                    words[2] + " takes "
                            + (action.shared() ? "a length and a share" : action.lasts() ? "a length" : "nothing more"),
                    words[0] + " " + words[1] + " " + words[2] + (action.lasts() ? " 2s" : "")
                            + (action.shared() ? " 10%" : ""));
            return;
        }
        double length = action.lasts() ? duration(words[3]) : 0;
        if (Double.isNaN(length)) {
            error(number, "'" + words[3] + "' is no length", unit(words[3]));
            return;
        }
        double share = action.shared() ? share(words[4]) : 0;
        if (Double.isNaN(share)) {
            error(number, "'" + words[4] + "' is no share", "10%");
            return;
        }
        for (String target : targets) {
            out.add(new Fault(at, target, action, length, share));
        }
    }

    private void error(int number, String what, String fix) {
        errors.add(name + ":" + number + ": " + what + "; try: " + fix);
    }

    private static Fault.Action action(String word) {
        for (Fault.Action a : Fault.Action.values()) {
            if (a.name().toLowerCase(Locale.ROOT).equals(word)) {
                return a;
            }
        }
        return null;
    }

    private static String nearest(String word) {
        String best = "";
        int distance = Integer.MAX_VALUE;
        for (Fault.Action a : Fault.Action.values()) {
            String name = a.name().toLowerCase(Locale.ROOT);
            int d = distance(word, name);
            if (d < distance) {
                distance = d;
                best = name;
            }
        }
        return "did you mean " + best + "?";
    }

    /** The Levenshtein distance. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                row[j] = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
                corner = above;
            }
        }
        return row[b.length()];
    }

    private static String unit(String word) {
        return word.matches("\\d+(\\.\\d+)?") ? "name the unit: " + word + "s or " + word + "ms" : "1.5s or 300ms";
    }

    /** Parses a duration such as {@code 300ms}, {@code 1.5s} or {@code 2m} to milliseconds; NaN if it is invalid. */
    public static double duration(String word) {
        if (!word.matches("\\d{1,9}(\\.\\d{1,9})?(ms|s|m|h)")) {
            return Double.NaN;
        }
        String number = word.replaceFirst("[a-z]+$", "");
        double unit = switch (word.substring(number.length())) {
            case "ms" -> 1;
            case "s" -> 1000;
            case "m" -> 60_000;
            default -> 3_600_000;
        };
        return Double.parseDouble(number) * unit;
    }

    private static double share(String word) {
        if (!word.matches("\\d{1,3}(\\.\\d{1,6})?%")) {
            return Double.NaN;
        }
        double share = Double.parseDouble(word.substring(0, word.length() - 1)) / 100;
        return share <= 1 ? share : Double.NaN;
    }
}
