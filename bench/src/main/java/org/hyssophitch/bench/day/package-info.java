/**
 * Simulation of a deployment in virtual time. A day is a scenario with load and scheduled faults; it runs real call
 * engines against model servers and callers, and is scored from the callers' point of view.
 */
package org.hyssophitch.bench.day;
