/**
 * Threads with one duty each, fed by a bounded ring.
 */
package org.hyssophitch.wire.concurrent;
