/**
 * The agent process: connects the agent engine of the core module to the network and the platform.
 */
package org.hyssophitch.agent;
