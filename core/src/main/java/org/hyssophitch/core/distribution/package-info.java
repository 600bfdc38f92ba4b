/**
 * Distribution of accepted configurations among entry hosts, which accept newer versions only.
 */
package org.hyssophitch.core.distribution;
