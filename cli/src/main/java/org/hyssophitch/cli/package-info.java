/**
 * Command-line client for operators.
 */
package org.hyssophitch.cli;
