package org.turmericspan.front;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.turmericspan.calls.LocateResult;

/**
 * Answer to a locate request as JSON.
 *
 * @param service service asked for
 * @param addresses entry VMs in the order in which to try them
 * @param timeToLiveMillis how long the answer may be kept, in milliseconds
 * @param incarnation life of the node that answers, for run tokens
 * @param epoch epoch of the node that answers, for run tokens
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
     * One entry VM as JSON.
     *
     * @param vm its name
     * @param address where callers connect
     * @param weight share of the service's slots it keeps
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
