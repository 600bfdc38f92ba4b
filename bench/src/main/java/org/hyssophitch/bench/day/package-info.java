/**
 * Days of a deployment in virtual time: real entry hosts' engines, model servers and callers, and what the day was
 * worth to the callers.
 */
package org.hyssophitch.bench.day;
