package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.turmericspan.ids.SocketAddress;

/**
 * Response of a node.
 *
 * @param address address the request was sent to
 * @param body JSON body, a missing node on failure
 * @param failure reason why the node could not be read, empty on success
 */
record NodeResponse(SocketAddress address, JsonNode body, String failure) {
    static NodeResponse of(SocketAddress address, JsonNode body) {
        return new NodeResponse(address, body, "");
    }

    static NodeResponse failed(SocketAddress address, String failure) {
        return new NodeResponse(address, MissingNode.getInstance(), failure);
    }

    boolean isSuccess() {
        return failure.isEmpty();
    }
}
