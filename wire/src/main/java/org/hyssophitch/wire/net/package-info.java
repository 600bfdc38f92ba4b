/**
 * Netty transports between processes: datagrams, framed connections, and a minimal HTTP client and server.
 */
package org.hyssophitch.wire.net;
