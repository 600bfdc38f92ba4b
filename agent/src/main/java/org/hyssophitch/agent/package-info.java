/**
 * The agent daemon: a thin shell around the agent engine of the core.
 */
package org.hyssophitch.agent;
