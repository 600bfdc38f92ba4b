/**
 * Command line of the stand-ins.
 */
package org.hyssophitch.standin.command;
