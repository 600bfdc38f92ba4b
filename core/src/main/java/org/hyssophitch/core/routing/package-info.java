/**
 * Choice of a backend server for each attempt: server state, load estimates and routing policies; and the split of
 * traffic among the destinations of a route.
 */
package org.hyssophitch.core.routing;
