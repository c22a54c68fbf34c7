/**
 * The operators' interface to a running proxy: a Unix domain socket with a small versioned protocol of JSON lines
 * ({@link cacheproxy.control.ControlServer}), its client, an admin port with one-word commands
 * ({@link cacheproxy.control.AdminPort}), and the registry of commands, status sections and metrics that both serve.
 * Depends on {@code proxy} for the data shown; only the command line depends on it. Loaded only if a socket or port is
 * configured.
 *
 * <p>A request is one line, {@code {"v":1,"command":"drain","deadline_ms":30000}}; its answer is one line,
 * {@code {"v":1,"ok":true,"result":{...}}} or {@code {"v":1,"ok":false,"error":"..."}}.
 */
package cacheproxy.control;
