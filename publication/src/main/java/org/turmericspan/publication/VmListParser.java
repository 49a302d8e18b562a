package org.turmericspan.publication;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;

/** Parses the list of live and leaving VMs that the platform publishes. */
public final class VmListParser {
    private static final String STATE_LEAVING = "leaving";
    private static final String ROLE_ENTRY = "entry";

    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Parses a list.
     *
     * @param value value of the platform: a JSON object with the array {@code vms}
     * @return view with the revision of the value
     * @throws BalancerException when the list is malformed
     */
    public FleetView parse(PlatformValue value) {
        try {
            List<Vm> vms = new ArrayList<>();
            mapper.readTree(value.text()).path("vms").forEach(node -> vms.add(parseVm(node)));
            return FleetView.of(value.revision(), vms);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new BalancerException(ResultCode.PLATFORM_FAILURE, "The VM list is malformed", e);
        }
    }

    private static Vm parseVm(JsonNode node) {
        return new Vm(
                new VmId(node.path("name").asText()),
                new AvailabilityZoneId(node.path("availability_zone").asText()),
                node.path("role").asText().equals(ROLE_ENTRY) ? Vm.Role.ENTRY : Vm.Role.UPSTREAM,
                node.path("state").asText().equals(STATE_LEAVING),
                address(node, "caller_address"),
                address(node, "peer_address"));
    }

    private static Optional<SocketAddress> address(JsonNode node, String field) {
        return Optional.ofNullable(node.get(field)).map(JsonNode::asText).map(SocketAddress::parse);
    }
}
