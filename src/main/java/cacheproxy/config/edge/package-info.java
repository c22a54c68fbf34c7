/**
 * The sections of a configuration that set routing: {@code pool}, {@code policy} and {@code route}, from entries to
 * {@link cacheproxy.route.Routing}; what a change of them changes for which traffic; and why a request goes where it
 * goes. Other subsystems' sections stand in packages of their own and are registered beside these.
 */
package cacheproxy.config.edge;
