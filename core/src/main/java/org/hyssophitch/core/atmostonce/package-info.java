/**
 * At-most-once execution of non-idempotent requests by tickets, without a write to the object store per call.
 */
package org.hyssophitch.core.atmostonce;
