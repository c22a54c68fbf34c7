/** The connections of clients: accepting, decoding requests, writing responses in order, timeouts, closing. */
package cacheproxy.proxy.client;
