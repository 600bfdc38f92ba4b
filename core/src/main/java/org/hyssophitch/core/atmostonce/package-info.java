/**
 * Tickets that make a non-idempotent request run at most once without a store write per call.
 */
package org.hyssophitch.core.atmostonce;
