/**
 * What backend servers state about themselves in their answers, and what an entry host may still send them. Free of
 * input and output.
 */
package org.hyssophitch.core.statement;
