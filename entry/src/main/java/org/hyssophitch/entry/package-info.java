/**
 * The process of an entry host on the platform: forwards requests to backend servers, serves readiness checks and
 * address lookups, watches configuration and registered backend servers in the store, and tracks the other entry hosts.
 */
package org.hyssophitch.entry;
