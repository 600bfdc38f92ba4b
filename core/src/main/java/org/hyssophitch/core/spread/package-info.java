/**
 * Spreading of accepted configurations among entry hosts; only newer versions are taken.
 */
package org.hyssophitch.core.spread;
