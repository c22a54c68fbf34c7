/**
 * Which part of the fleet serves a request, and by which limits: pools, routes and policies. Decisions only: no
 * sockets, files, threads or clocks. {@link cacheproxy.route.Router} stands between the dispatcher and one decision
 * module a pool; where no routes are set it is not there at all. May use the decision module's types and nothing else
 * of the project.
 */
package cacheproxy.route;
