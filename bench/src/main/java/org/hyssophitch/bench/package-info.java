/**
 * Measurements: routing policies, control traffic, the cost of decisions, and the added latency.
 */
package org.hyssophitch.bench;
