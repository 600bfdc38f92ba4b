/**
 * HTTP/1.1 data path: connections from callers and to backend servers, and the dispatcher that runs the call engine
 * between them on one event loop.
 */
package org.hyssophitch.http;
