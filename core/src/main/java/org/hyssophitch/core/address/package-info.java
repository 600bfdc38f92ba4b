/**
 * Selection of the entry host addresses that a caller is told to use.
 */
package org.hyssophitch.core.address;
