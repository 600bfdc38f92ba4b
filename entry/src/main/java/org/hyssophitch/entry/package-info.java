/**
 * The one program of an entry host on the platform: carries requests, answers readiness checks and address questions,
 * and follows configuration, backend servers and the other entry hosts.
 */
package org.hyssophitch.entry;
