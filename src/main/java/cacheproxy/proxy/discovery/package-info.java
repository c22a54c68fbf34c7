/**
 * How the proxy hears of its servers: discovery's list, by watches and calls over HTTP/1.1, and the form that it comes
 * in. Knows nothing of requests; what it hears goes to a {@code Listener}, and what to ask when is told to it.
 */
package cacheproxy.proxy.discovery;
