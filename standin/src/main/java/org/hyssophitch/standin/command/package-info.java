/**
 * Command line of the fakes.
 */
package org.hyssophitch.standin.command;
