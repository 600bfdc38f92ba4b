/** Teams of callers, their API keys and the quotas that the configuration grants them. */
package org.hyssophitch.core.team;
