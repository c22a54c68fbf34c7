package cacheproxy.emulator;

/** A period in which a proxy is not required to answer, as it is dead or paused. Times in milliseconds. */
record Excuse(int proxy, double fromMs, double untilMs, boolean paused) {
    /**
     * Whether it excuses a proxy from answering a request.
     *
     * @param askedMs when the request was sent
     * @param deadlineMs when its client stops waiting
     * @param endedMs when its connection ended
     */
    boolean covers(int by, double askedMs, double deadlineMs, double endedMs) {
        if (by != proxy) {
            return false;
        }
        return paused ? askedMs <= untilMs && deadlineMs >= fromMs : endedMs >= fromMs && endedMs <= untilMs;
    }
}
