/**
 * Objects that live in the platform's store: the calls that the product needs, and following a kind of objects.
 */
package org.hyssophitch.core.store;
