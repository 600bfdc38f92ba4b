/**
 * The call engine: a deterministic state machine that takes each call from arrival to its final answer.
 */
package org.hyssophitch.core.call;
