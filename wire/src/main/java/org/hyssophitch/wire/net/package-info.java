/**
 * Transports between processes on Netty: datagrams, framed connections, a small HTTP endpoint.
 */
package org.hyssophitch.wire.net;
