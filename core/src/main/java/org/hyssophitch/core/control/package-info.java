/**
 * The agent engine: a deterministic state machine that joins membership, load sharing, configuration and addresses.
 */
package org.hyssophitch.core.control;
