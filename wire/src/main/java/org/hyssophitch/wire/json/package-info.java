/** Reading and writing of JSON trees. */
package org.hyssophitch.wire.json;
