/**
 * The operators' command-line client.
 */
package org.hyssophitch.cli;
