/**
 * Hybrid logical clock, typed events and the bounded ring that holds them.
 */
package org.hyssophitch.core.timeline;
