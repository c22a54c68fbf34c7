package cacheproxy.control;

/** Whether this process takes clients. The door opens when it does, so whoever can ask hears yes. */
final class HealthCommand implements AdminCommand {
    @Override
    public String word() {
        return "HEALTH";
    }

    @Override
    public String answer(ControlRegistry registry) {
        return "OK\n";
    }
}
