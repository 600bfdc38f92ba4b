/**
 * Simulation in virtual time: real call and agent engines with model backend servers, network delays and callers.
 */
package org.hyssophitch.bench.model;
