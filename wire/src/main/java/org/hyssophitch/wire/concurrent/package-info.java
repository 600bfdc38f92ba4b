/**
 * Threads that process events from bounded queues, the process lifecycle, and the clock.
 */
package org.hyssophitch.wire.concurrent;
