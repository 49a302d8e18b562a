package org.turmericspan.bench.load;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.turmericspan.standins.fleet.FleetNode;

/** Asks which address to use, keeps the answer for its lifetime, and sends there. */
public final class LocatingCaller implements Caller {
    private static final String NONCE_FORMAT = "%016x%016x";

    private final HttpCalls calls;
    private final AddressBook addresses;

    /**
     * Creates a caller.
     *
     * @param calls sends the requests
     * @param nodes nodes that may be asked first
     */
    public LocatingCaller(HttpCalls calls, List<FleetNode> nodes) {
        this.calls = calls;
        this.addresses = new AddressBook(calls, nodes);
    }

    @Override
    public CompletableFuture<CallEnd> call(CallSpec spec) {
        return addresses
                .choose(spec.service(), "office-" + spec.office())
                .thenCompose(address -> send(address, spec))
                .exceptionally(failure -> CallEnd.FAILED);
    }

    /**
     * Draws a run token for one node.
     *
     * @param baseUrl node that shall own the run
     * @param spec the order
     * @return the token
     */
    public CompletableFuture<String> drawToken(String baseUrl, CallSpec spec) {
        return addresses
                .ask(baseUrl, spec.service())
                .thenApply(answer ->
                        answer.incarnation() + "." + answer.epoch() + "." + nonce() + ".caller-" + spec.caller());
    }

    private CompletableFuture<CallEnd> send(String address, CallSpec spec) {
        CompletableFuture<String> token =
                spec.isOrder() ? drawToken(address, spec) : CompletableFuture.completedFuture("");
        return token.thenCompose(drawn -> calls.send(address + "/v1/services/" + spec.service(), spec, drawn))
                .whenComplete((end, failure) -> {
                    if (failure != null || end.outcome() == CallOutcome.FAILED) {
                        addresses.forget(address);
                    }
                });
    }

    private static String nonce() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return String.format(NONCE_FORMAT, random.nextLong(), random.nextLong());
    }
}
