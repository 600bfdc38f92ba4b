/**
 * The agent engine: a deterministic state machine that combines membership, load reports, configuration and the
 * selection of entry hosts.
 */
package org.hyssophitch.core.control;
