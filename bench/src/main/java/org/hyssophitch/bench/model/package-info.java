/**
 * Model of the systems served, in virtual time: backend servers, network delays and callers around real engines.
 */
package org.hyssophitch.bench.model;
