/**
 * Command line of the benchmarks and simulations.
 */
package org.hyssophitch.bench.command;
