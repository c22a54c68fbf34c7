/**
 * Quotas of organisations, apps and device classes: nested, over sliding windows, with guarantees of which the idle
 * part is lent. {@link cacheproxy.quota.QuotaTree} admits requests; {@link cacheproxy.quota.LeaseHolder} and
 * {@link cacheproxy.quota.LeaseParticipant} share a cap among instances. Pure decisions: no input or output, and time
 * is an argument. The design is in {@code docs/design/quotas.md}.
 */
package cacheproxy.quota;
