/**
 * Load reports of backend servers, and planning of the probes that fetch them within a rate and bandwidth budget.
 */
package org.hyssophitch.core.load;
