/**
 * Durable records of one instance: what is worth more to its next process than a fresh start, with the age and the
 * authority of each. Decides what is kept, when it is written and how far it may be trusted
 * ({@link cacheproxy.state.RecordKind}, {@link cacheproxy.state.RecordStore}); {@link cacheproxy.state.StateFolder}
 * alone touches files.
 */
package cacheproxy.state;
