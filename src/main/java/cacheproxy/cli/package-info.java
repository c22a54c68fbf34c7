/**
 * The command line of the tools: parses arguments, runs a command, prints its result and sets the exit code. Loaded
 * only by these commands, so that {@code serve}, {@code drill} and {@code train} start without it. May depend on every
 * package; only {@code Main} depends on it.
 */
package cacheproxy.cli;
