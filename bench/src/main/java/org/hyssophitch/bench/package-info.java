/**
 * Benchmarks of routing policies, control-plane traffic, state sizes, call engine cost and proxy latency.
 */
package org.hyssophitch.bench;
