/**
 * Client for the platform's object API and host list.
 */
package org.hyssophitch.wire.platform;
