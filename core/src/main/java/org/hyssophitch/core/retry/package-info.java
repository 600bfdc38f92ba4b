/**
 * Budgets that bound the extra load caused by retries and hedged attempts.
 */
package org.hyssophitch.core.retry;
