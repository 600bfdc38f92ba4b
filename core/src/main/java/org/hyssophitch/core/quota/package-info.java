/** Quotas of teams over all entry hosts: the owner of a team's tokens, and the hosts that ask it for them. */
package org.hyssophitch.core.quota;
