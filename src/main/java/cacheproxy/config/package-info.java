/**
 * The configuration language: lexer, parser, schema check, formatter and semantic comparison. It depends on no
 * subsystem: the permitted content is a {@link cacheproxy.config.Schema} in which subsystems register their sections
 * (those for routing are in {@code cacheproxy.config.edge}). Only {@code Loader} reads files; everything else is a
 * function of text. Any package above {@code proxy} may use it.
 */
package cacheproxy.config;
