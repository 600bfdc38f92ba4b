/**
 * Stand-ins for the systems around hyssophitch: platform, backend servers and callers. Test side only.
 */
package org.hyssophitch.standin;
