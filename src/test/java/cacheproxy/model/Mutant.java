package cacheproxy.model;

import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.List;

/** Faults in the decision module, each of which violates one of the rules. */
enum Mutant {
    /** Refuses a request that may have been executed, so its client retries. */
    REFUSES_WHAT_MAY_HAVE_RUN(Rules.Rule.NO_EFFECT_TWICE) {
        @Override
        Object order(RoutingActions out, String name, Object[] args) throws ReflectiveOperationException {
            if (name.equals("fail")) {
                out.reject((int) args[0], 0);
                return null;
            }
            return super.order(out, name, args);
        }
    },
    /** Drops the rejections and failures of one request in fifty. */
    FORGETS_ANSWERS(Rules.Rule.NO_REQUEST_LOST) {
        @Override
        Object order(RoutingActions out, String name, Object[] args) throws ReflectiveOperationException {
            return (name.equals("reject") || name.equals("fail")) && (int) args[0] % 50 == 0
                    ? null
                    : super.order(out, name, args);
        }
    },
    /** Treats draining and removed nodes as ready. */
    KEEPS_WHAT_DRAINS(Rules.Rule.DRAINS_KEPT) {
        @Override
        Endpoint member(Endpoint m) {
            return m.state() == EndpointState.READY
                    ? m
                    : new Endpoint(
                            m.id(), m.zone(), m.kind(), m.cell(), EndpointState.READY, m.weight(), m.startTimeMs());
        }
    },
    /** Sends every attempt for a node to the newest node. */
    PREFERS_THE_NEWEST(Rules.Rule.NO_COLD_NODE_PUSHED_OVER) {
        @SuppressWarnings("ImmutableEnumChecker") // runs that use it are sequential
        private int newest;

        @Override
        Endpoint member(Endpoint m) {
            newest = m.kind() == FleetDraw.ORIGIN_KIND ? newest : Math.max(newest, m.id());
            return m;
        }

        @Override
        Object order(RoutingActions out, String name, Object[] args) throws ReflectiveOperationException {
            if (name.equals("send") && (int) args[1] != FleetDraw.ORIGIN) {
                args[1] = newest;
            }
            return super.order(out, name, args);
        }
    };

    final Rules.Rule breaks;

    Mutant(Rules.Rule breaks) {
        this.breaks = breaks;
    }

    /** Carries out an action of the module. */
    Object order(RoutingActions out, String name, Object[] args) throws ReflectiveOperationException {
        for (var m : RoutingActions.class.getMethods()) {
            if (m.getName().equals(name)) {
                return m.invoke(out, args);
            }
        }
        throw new NoSuchMethodException(name);
    }

    /** The endpoint as the module sees it. */
    Endpoint member(Endpoint m) {
        return m;
    }

    /** A decision module with this fault. */
    LoadBalancer module(RoutingSettings settings, long seed) {
        CarpLoadBalancer real = new CarpLoadBalancer(settings, seed);
        return (LoadBalancer) Proxy.newProxyInstance(
                Mutant.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (self, method, args) -> {
                    for (int i = 0; args != null && i < args.length; i++) {
                        if (args[i] instanceof RoutingActions out) {
                            args[i] = Proxy.newProxyInstance(
                                    Mutant.class.getClassLoader(),
                                    new Class<?>[] {RoutingActions.class},
                                    (s, order, how) -> order(out, order.getName(), how));
                        }
                    }
                    if (method.getName().equals("onEndpointUpdate") && args[1] != EndpointUpdateKind.FAILED) {
                        args[2] = ((List<?>) args[2])
                                .stream().map(m -> member((Endpoint) m)).toList();
                    }
                    try {
                        return method.invoke(real, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
