/**
 * What the codecs towards clients and towards servers share: the grammar of the meta protocol, a request's command, a
 * server's response, and buffers for values.
 */
package cacheproxy.proxy.protocol;
