/**
 * Durable records of one instance: what is worth more to its next process than a fresh start, each with its age and its
 * authority. {@link cacheproxy.state.RecordKind} says what is stored and how long it may be used,
 * {@link cacheproxy.state.RecordStore} when it is written, {@link cacheproxy.state.StateReader} reads it;
 * {@link cacheproxy.state.StateFolder} alone touches files.
 */
package cacheproxy.state;
