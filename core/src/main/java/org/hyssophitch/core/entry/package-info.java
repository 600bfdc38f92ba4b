/**
 * Entry host on the platform: its settings, the registry of live backend servers and the routing of requests to
 * services.
 */
package org.hyssophitch.core.entry;
