/** Simulation of a fleet whose backend servers state rate limits, with the real call engines in virtual time. */
package org.hyssophitch.bench.limit;
