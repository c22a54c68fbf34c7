/**
 * What the proxies of a tier have done, in lines that each of them writes, added up over all of them. No input or
 * output: {@code proxy.WorkLog} writes the lines, and the command {@code figures} reads them.
 */
package cacheproxy.metrics;
