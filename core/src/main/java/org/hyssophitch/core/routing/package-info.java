/**
 * Choice of a backend server for one attempt: candidate state, load estimates and the routing policies.
 */
package org.hyssophitch.core.routing;
