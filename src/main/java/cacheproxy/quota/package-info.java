/**
 * What each organisation, app and device class may ask: nested quotas over sliding windows, guaranteed shares, and the
 * lending of those that lie idle. Decisions alone: no input or output, and time is an argument.
 * {@code docs/design/quotas.md} tells what was weighed.
 */
package cacheproxy.quota;
