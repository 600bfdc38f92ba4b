/**
 * Admission control: bounded call queues ordered by priority and due time, and adaptive in-flight limits per backend
 * server.
 */
package org.hyssophitch.core.admission;
