/**
 * Fakes of the systems around hyssophitch: platform, backend servers and callers. For tests and demos only.
 */
package org.hyssophitch.standin;
