/**
 * Reading of YAML files with every fault reported at once, each with its path and line.
 */
package org.hyssophitch.wire.yaml;
