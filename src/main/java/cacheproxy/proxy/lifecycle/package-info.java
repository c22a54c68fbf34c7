/** How an instance starts, takes over, reloads its configuration, drains and shuts down. */
package cacheproxy.proxy.lifecycle;
