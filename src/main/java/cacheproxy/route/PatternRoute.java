package cacheproxy.route;

/** A route whose key is a pattern, with the names in its conditions as the table's numbers. */
record PatternRoute(Route route, int[] tenants, int[] classes, int[] fronts) {
    static PatternRoute of(Route route, ConditionNames names) {
        return new PatternRoute(
                route,
                names.tenants().ofCondition(route.tenants()),
                names.classes().ofCondition(route.classes()),
                names.fronts().ofCondition(route.fronts()));
    }

    boolean matches(CharSequence key, int tenant, int serviceClass, int front) {
        return accepts(tenants, tenant)
                && accepts(classes, serviceClass)
                && accepts(fronts, front)
                && route.key().matches(key);
    }

    private static boolean accepts(int[] condition, int number) {
        for (int accepted : condition) {
            if (accepted == NameNumbers.ANY || accepted == number) {
                return true;
            }
        }
        return false;
    }
}
