/**
 * Decisions of hyssophitch, one package per duty, without input and output.
 */
package org.hyssophitch.core;
