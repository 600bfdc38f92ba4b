/**
 * The operators' configuration document: reading, checking, writing and conditional storing.
 */
package org.hyssophitch.document;
