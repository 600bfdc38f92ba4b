/**
 * The call engine: a deterministic state machine that carries each call from arrival to its final answer.
 */
package org.hyssophitch.core.call;
