/**
 * The proxy process of an entry host: connects the call engine of the core module to callers and backend servers over
 * HTTP.
 */
package org.hyssophitch.proxy;
