/**
 * Which part of the fleet serves a request, and under which limits: pools, routes and policies. Pure decisions: no
 * sockets, files, threads or clocks. {@link cacheproxy.route.Router} stands between the dispatcher and one load
 * balancer for each pool; without routes there is no router. Depends on the package {@code routing} and on nothing else
 * of the project.
 */
package cacheproxy.route;
