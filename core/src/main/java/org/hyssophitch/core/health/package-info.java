/**
 * Outlier ejection of backend servers, and detection of requests that crash them.
 */
package org.hyssophitch.core.health;
