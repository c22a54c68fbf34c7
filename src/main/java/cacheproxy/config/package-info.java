/**
 * The configuration language: source text to tokens, syntax, checked entries and meaning; formatting and comparing. It
 * knows no subsystem: what may stand in a file is a {@link cacheproxy.config.Schema} that subsystems register their
 * sections in (those for routing are in {@code cacheproxy.config.edge}). Only {@code Loader} reads files; everything
 * else is a function of text. May be used by anything above {@code proxy}.
 */
package cacheproxy.config;
