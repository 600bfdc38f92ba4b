/**
 * Interface to the platform's object store, and watching all objects of one kind.
 */
package org.hyssophitch.core.store;
