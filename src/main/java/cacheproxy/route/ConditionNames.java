package cacheproxy.route;

import java.util.List;

/** The numbers of the names that the routes of a table use, by condition. */
record ConditionNames(NameNumbers tenants, NameNumbers classes, NameNumbers fronts) {
    static ConditionNames of(List<Route> routes) {
        return new ConditionNames(
                new NameNumbers(routes.stream().map(Route::tenants).toList()),
                new NameNumbers(routes.stream().map(Route::classes).toList()),
                new NameNumbers(routes.stream().map(Route::fronts).toList()));
    }
}
