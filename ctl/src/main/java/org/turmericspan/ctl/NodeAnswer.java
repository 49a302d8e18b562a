package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.turmericspan.ids.SocketAddress;

/**
 * What a node answered.
 *
 * @param address address that was asked
 * @param body the JSON answer, missing on a failure
 * @param failure why there is no answer, empty on success
 */
record NodeAnswer(SocketAddress address, JsonNode body, String failure) {
    static NodeAnswer of(SocketAddress address, JsonNode body) {
        return new NodeAnswer(address, body, "");
    }

    static NodeAnswer failed(SocketAddress address, String failure) {
        return new NodeAnswer(address, MissingNode.getInstance(), failure);
    }

    boolean isRead() {
        return failure.isEmpty();
    }
}
