/**
 * Membership of entry hosts by heartbeats, suspicion and refutation.
 */
package org.hyssophitch.core.membership;
