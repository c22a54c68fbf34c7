/**
 * When a fleet leaves a zone whose cache nodes fail, and how it returns, decided by all that hear each other as one and
 * without a leader. Decisions without I/O: times, what was seen and what others say come in; how far each zone is open,
 * whom to try, and what to say go out.
 *
 * <p>{@link damsonworks.zone.Observer} sums what this instance sees, {@link damsonworks.zone.Judge} tells the cases
 * apart by what all say, {@link damsonworks.zone.Plan} is what is decided (it merges by a stated order),
 * {@link damsonworks.zone.Pace} says how soon the next step may come, and {@link damsonworks.zone.Zones} puts them
 * together. Why it is so stands in {@code docs/design/zones.md}.
 */
package damsonworks.zone;
