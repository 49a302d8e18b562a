package org.turmericspan.front;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.turmericspan.calls.LocateResult;

/**
 * Response to a locate request, as JSON.
 *
 * @param service requested service
 * @param addresses entry VMs in the order in which to try them
 * @param timeToLiveMillis time for which callers may cache the response, in milliseconds
 * @param incarnation incarnation of the responding node, for run tokens
 * @param epoch current epoch of the responding node, for run tokens
 */
record LocateBody(
        @JsonProperty("service") String service,
        @JsonProperty("addresses") List<AddressBody> addresses,
        @JsonProperty("ttl_ms") long timeToLiveMillis,
        @JsonProperty("incarnation") String incarnation,
        @JsonProperty("epoch") long epoch) {
    static LocateBody of(String service, LocateResult locateResult, TokenIssuer issuer) {
        return new LocateBody(
                service,
                locateResult.addresses().stream().map(AddressBody::of).toList(),
                locateResult.timeToLive().toMillis(),
                issuer.incarnation().toString(),
                issuer.epoch().number());
    }

    /**
     * One entry VM, as JSON.
     *
     * @param vm name of the VM
     * @param address address that callers connect to
     * @param weight share of the service's slots that the VM owns
     */
    record AddressBody(
            @JsonProperty("vm") String vm,
            @JsonProperty("address") String address,
            @JsonProperty("weight") int weight) {
        static AddressBody of(LocateResult.Endpoint endpoint) {
            return new AddressBody(endpoint.vm().value(), endpoint.address().toString(), endpoint.weight());
        }
    }
}
