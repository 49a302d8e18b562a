package org.turmericspan.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import org.turmericspan.standins.fleet.FleetNode;

/** Caches locate responses for their TTL, as every caller does, and chooses an address by weight. */
final class LocateCache {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpCalls calls;
    private final List<String> nodeUrls;
    private final Map<String, CompletableFuture<LocateResponse>> responses = new ConcurrentHashMap<>();

    LocateCache(HttpCalls calls, List<FleetNode> nodes) {
        this.calls = calls;
        this.nodeUrls = nodes.stream().map(FleetNode::callerUrl).collect(Collectors.toList());
    }

    /** Chooses an address for a service. */
    CompletableFuture<String> choose(String service, String office) {
        return locate(office + "/" + service, randomNodeUrl(), service).thenApply(LocateResponse::choose);
    }

    /** Returns the locate response of one node, which holds its incarnation and epoch for run tokens. */
    CompletableFuture<LocateResponse> locateAt(String baseUrl, String service) {
        return locate(baseUrl + "/" + service, baseUrl, service);
    }

    /** Removes the cached responses that contain an address, after a call to it failed. */
    void invalidate(String baseUrl) {
        responses
                .values()
                .removeIf(cached -> cached.isDone()
                        && !cached.isCompletedExceptionally()
                        && cached.join().contains(baseUrl));
        responses.keySet().removeIf(key -> key.startsWith(baseUrl));
    }

    private CompletableFuture<LocateResponse> locate(String key, String baseUrl, String service) {
        CompletableFuture<LocateResponse> cached = responses.get(key);
        if (cached != null && (!cached.isDone() || isFresh(cached))) {
            return cached;
        }
        CompletableFuture<LocateResponse> requested =
                calls.getJson(baseUrl + "/v1/locate?service=" + service).thenApply(LocateResponse::parse);
        responses.put(key, requested);
        return requested;
    }

    private static boolean isFresh(CompletableFuture<LocateResponse> cached) {
        return !cached.isCompletedExceptionally()
                && System.nanoTime() < cached.join().expiryNanos();
    }

    private String randomNodeUrl() {
        return nodeUrls.get(ThreadLocalRandom.current().nextInt(nodeUrls.size()));
    }

    /**
     * One locate response.
     *
     * @param addresses base URLs, each repeated as often as its weight
     * @param incarnation incarnation of the node that responded
     * @param epoch epoch of that node
     * @param expiryNanos monotonic time at which the response expires
     */
    record LocateResponse(List<String> addresses, String incarnation, long epoch, long expiryNanos) {
        static LocateResponse parse(JsonNode node) {
            List<String> weighted = new ArrayList<>();
            for (JsonNode address : node.path("addresses")) {
                for (int i = 0; i < Math.max(1, address.path("weight").asInt()); i++) {
                    weighted.add("http://" + address.path("address").asText());
                }
            }
            long ttlNanos = node.path("ttl_ms").asLong() * NANOS_PER_MILLI;
            return new LocateResponse(
                    weighted,
                    node.path("incarnation").asText(),
                    node.path("epoch").asLong(),
                    System.nanoTime() + ttlNanos);
        }

        String choose() {
            return addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
        }

        boolean contains(String baseUrl) {
            return addresses.contains(baseUrl);
        }
    }
}
