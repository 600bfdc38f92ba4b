/**
 * Timeline of a process: hybrid logical clock, typed events and the ring buffer that holds them.
 */
package org.hyssophitch.core.timeline;
