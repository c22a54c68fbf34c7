/**
 * How operators speak to a running proxy: a Unix-domain socket with a small versioned protocol of JSON lines, a
 * registry that subsystems hang their status and commands on, and the client for it. Depends on {@code proxy} for what
 * it shows; nothing but the command line depends on it. Loaded only where a socket is asked for.
 *
 * <p>A request is one line, {@code {"v":1,"command":"drain","deadline_ms":30000}}; its answer is one line,
 * {@code {"v":1,"ok":true,"result":{...}}} or {@code {"v":1,"ok":false,"error":"..."}}.
 */
package cacheproxy.control;
