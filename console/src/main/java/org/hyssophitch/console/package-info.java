/**
 * Web console for operators: forms that are converted to one validated configuration document.
 */
package org.hyssophitch.console;
