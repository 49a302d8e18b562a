package org.turmericspan.bench.load;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.turmericspan.standins.fleet.FleetNode;

/** Locates the addresses of a service, caches them for their TTL, and sends its requests there. */
public final class LocatingCaller implements Caller {
    private static final String NONCE_FORMAT = "%016x%016x";

    private final HttpCalls calls;
    private final LocateCache locateCache;

    /**
     * Creates a caller.
     *
     * @param calls sends the requests
     * @param nodes nodes to which locate requests are sent
     */
    public LocatingCaller(HttpCalls calls, List<FleetNode> nodes) {
        this.calls = calls;
        this.locateCache = new LocateCache(calls, nodes);
    }

    @Override
    public CompletableFuture<RequestResult> call(CallSpec spec) {
        return locateCache
                .choose(spec.service(), "office-" + spec.office())
                .thenCompose(address -> send(address, spec))
                .exceptionally(failure -> RequestResult.FAILED);
    }

    /**
     * Creates a run token for one node.
     *
     * @param baseUrl base URL of the node that will own the token
     * @param spec the order
     * @return the token
     */
    public CompletableFuture<String> createToken(String baseUrl, CallSpec spec) {
        return locateCache
                .locateAt(baseUrl, spec.service())
                .thenApply(located ->
                        located.incarnation() + "." + located.epoch() + "." + nonce() + ".caller-" + spec.caller());
    }

    private CompletableFuture<RequestResult> send(String address, CallSpec spec) {
        CompletableFuture<String> token =
                spec.isOrder() ? createToken(address, spec) : CompletableFuture.completedFuture("");
        return token.thenCompose(runToken -> calls.send(address + "/v1/services/" + spec.service(), spec, runToken))
                .whenComplete((result, failure) -> {
                    if (failure != null || result.outcome() == CallOutcome.FAILED) {
                        locateCache.invalidate(address);
                    }
                });
    }

    private static String nonce() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return String.format(NONCE_FORMAT, random.nextLong(), random.nextLong());
    }
}
