/**
 * Command line of the measurements.
 */
package org.hyssophitch.bench.command;
