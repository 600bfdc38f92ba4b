/** Simulation of a fleet with a request that crashes servers, with the real call engines in virtual time. */
package org.hyssophitch.bench.crash;
