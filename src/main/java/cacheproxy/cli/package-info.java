/**
 * The command line of the tools: reads arguments, starts something, prints, chooses the exit code. Loaded only by the
 * commands that need it, so that {@code serve}, {@code drill} and {@code train} start without it. May use everything;
 * nothing uses it but {@code Main}.
 */
package cacheproxy.cli;
