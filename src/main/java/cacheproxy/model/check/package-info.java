/**
 * Model checking of the decision packages: explores breadth first every state that a small system can reach under any
 * order of its moves. It runs the production classes and uses no sockets, threads or clocks.
 */
package cacheproxy.model.check;
