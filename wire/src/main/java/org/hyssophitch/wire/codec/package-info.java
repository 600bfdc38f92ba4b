/**
 * Mapping between the core's types and the generated protobuf messages.
 */
package org.hyssophitch.wire.codec;
