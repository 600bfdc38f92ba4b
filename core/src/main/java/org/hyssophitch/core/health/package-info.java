/**
 * Outlier detection of backend servers and conviction of requests that crash them.
 */
package org.hyssophitch.core.health;
