/**
 * The safety rules: whether an attempt may begin and whether a request may be rejected. Pure decisions on explicit
 * state, without sockets, threads or clocks; the caller checks right before it acts. Violations that are detected
 * afterwards are counted by kind.
 */
package cacheproxy.admission;
