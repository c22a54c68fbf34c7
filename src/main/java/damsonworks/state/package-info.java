/**
 * Durable records of one instance: what is worth more to its next process than a fresh start, with the age and the
 * authority of each. Decides what is kept, when it is written and how far it may be trusted
 * ({@link damsonworks.state.Kind}, {@link damsonworks.state.Keeper}); {@link damsonworks.state.StateFolder} alone
 * touches files.
 */
package damsonworks.state;
