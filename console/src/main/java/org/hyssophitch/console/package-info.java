/**
 * The operators' web console: forms whose only output is one validated document.
 */
package org.hyssophitch.console;
