/** Protobuf encoding of the frames and messages between nodes. */
package org.turmericspan.wire;
