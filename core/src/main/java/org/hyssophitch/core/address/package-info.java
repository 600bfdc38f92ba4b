/**
 * Selection of the entry host addresses that are returned to a caller.
 */
package org.hyssophitch.core.address;
