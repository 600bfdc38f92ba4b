/**
 * Reads YAML files and reports all faults at once, each with its path and line number.
 */
package org.hyssophitch.wire.yaml;
