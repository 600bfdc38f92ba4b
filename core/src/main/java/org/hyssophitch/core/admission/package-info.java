/**
 * Admission of calls: deadline-ordered bounded queues and adaptive limits per backend server.
 */
package org.hyssophitch.core.admission;
