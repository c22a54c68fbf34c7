/**
 * The meta commands of the memcache text protocol for the emulated servers and the load generators: commands and
 * responses as records, and a decoder for each direction. Depends on Netty alone.
 */
package cacheproxy.emulator.meta;
