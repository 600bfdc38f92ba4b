/**
 * Backoff, and budgets that limit the extra load caused by retries and hedges.
 */
package org.hyssophitch.core.retry;
