/**
 * Membership of entry hosts: failure detection by heartbeats, suspicion and refutation.
 */
package org.hyssophitch.core.membership;
