/**
 * Durable records of one instance: the state that is more useful to its next process than a fresh start, each record
 * with its age and its authority. {@link cacheproxy.state.RecordKind} defines what is stored and how long it may be
 * used, {@link cacheproxy.state.RecordStore} decides when it is written, and {@link cacheproxy.state.StateReader} reads
 * it. Only {@link cacheproxy.state.StateFolder} accesses files.
 */
package cacheproxy.state;
