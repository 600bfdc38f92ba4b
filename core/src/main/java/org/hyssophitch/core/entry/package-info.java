/**
 * Decisions of an entry host on the platform: its settings, the backend servers that are believed in, the requests that
 * it takes.
 */
package org.hyssophitch.core.entry;
