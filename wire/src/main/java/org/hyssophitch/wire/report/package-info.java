/**
 * What processes show to operators: time line and status as JSON, metrics as text.
 */
package org.hyssophitch.wire.report;
