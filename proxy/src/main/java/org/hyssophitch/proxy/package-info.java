/**
 * The entry proxy: a shell around the call engine of the core, with HTTP towards callers and backend servers.
 */
package org.hyssophitch.proxy;
