/**
 * Output for operators: timeline, status and log lines as JSON, metrics as text; also the names of the HTTP headers.
 */
package org.hyssophitch.wire.report;
