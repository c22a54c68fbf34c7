package cacheproxy.control;

/**
 * {@code HEALTH}: whether this process accepts clients. The admin port opens only once it does, so the answer is always
 * {@code OK}.
 */
final class HealthCommand implements AdminCommand {
    @Override
    public String wireName() {
        return "HEALTH";
    }

    @Override
    public String answer(ControlRegistry registry) {
        return "OK\n";
    }
}
