/**
 * The operators' configuration document: parsing, validating, writing, and storing it with optimistic locking.
 */
package org.hyssophitch.document;
