/**
 * Conversion between the types of module {@code core} and the generated protobuf messages.
 */
package org.hyssophitch.wire.codec;
