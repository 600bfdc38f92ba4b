/**
 * Decision logic of hyssophitch, free of I/O, with one package per responsibility.
 */
package org.hyssophitch.core;
