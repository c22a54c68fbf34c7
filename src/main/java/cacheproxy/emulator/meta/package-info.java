/**
 * The meta commands of the memcache text protocol as stand-ins and load generators see them: commands and answers as
 * records, with a decoder for each direction. Depends on Netty alone.
 */
package cacheproxy.emulator.meta;
