/**
 * The one place that says what may happen to a request now: whether an attempt may begin, a refusal may be promised, an
 * answer may be given. Decisions over explicit states, without sockets, threads or clocks; whoever acts asks at the
 * moment of the act. Breaches that are seen afterwards are counted by kind.
 */
package cacheproxy.admission;
