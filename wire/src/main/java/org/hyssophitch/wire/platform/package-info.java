/**
 * Client of the platform: object API and host list.
 */
package org.hyssophitch.wire.platform;
