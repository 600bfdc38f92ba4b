/**
 * Load reports, ownership of probes and the budget that bounds the cost of measuring.
 */
package org.hyssophitch.core.load;
