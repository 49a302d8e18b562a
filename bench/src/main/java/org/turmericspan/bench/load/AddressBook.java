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

/** Keeps address answers for their lifetime, as every caller does, and chooses an address by weight. */
final class AddressBook {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpCalls calls;
    private final List<String> seeds;
    private final Map<String, CompletableFuture<Answer>> answers = new ConcurrentHashMap<>();

    AddressBook(HttpCalls calls, List<FleetNode> nodes) {
        this.calls = calls;
        this.seeds = nodes.stream().map(FleetNode::callerUrl).collect(Collectors.toList());
    }

    /** Chooses an address for a service. */
    CompletableFuture<String> choose(String service, String office) {
        return answer(office + "/" + service, seed(), service).thenApply(Answer::choose);
    }

    /** Asks one node what run tokens for it need. */
    CompletableFuture<Answer> ask(String baseUrl, String service) {
        return answer(baseUrl + "/" + service, baseUrl, service);
    }

    /** Forgets the answers that name an address, after a call to it failed. */
    void forget(String baseUrl) {
        answers.values()
                .removeIf(answer -> answer.isDone()
                        && !answer.isCompletedExceptionally()
                        && answer.join().mentions(baseUrl));
        answers.keySet().removeIf(key -> key.startsWith(baseUrl));
    }

    private CompletableFuture<Answer> answer(String key, String baseUrl, String service) {
        CompletableFuture<Answer> known = answers.get(key);
        if (known != null && (!known.isDone() || isFresh(known))) {
            return known;
        }
        CompletableFuture<Answer> asked =
                calls.getJson(baseUrl + "/v1/locate?service=" + service).thenApply(Answer::parse);
        answers.put(key, asked);
        return asked;
    }

    private static boolean isFresh(CompletableFuture<Answer> known) {
        return !known.isCompletedExceptionally()
                && System.nanoTime() < known.join().freshUntilNanos();
    }

    private String seed() {
        return seeds.get(ThreadLocalRandom.current().nextInt(seeds.size()));
    }

    /**
     * One address answer.
     *
     * @param addresses base URLs, as often as their weight says
     * @param incarnation life of the node that answered
     * @param epoch its epoch
     * @param freshUntilNanos monotonic time until which the answer may be kept
     */
    record Answer(List<String> addresses, String incarnation, long epoch, long freshUntilNanos) {
        static Answer parse(JsonNode node) {
            List<String> weighted = new ArrayList<>();
            for (JsonNode address : node.path("addresses")) {
                for (int i = 0; i < Math.max(1, address.path("weight").asInt()); i++) {
                    weighted.add("http://" + address.path("address").asText());
                }
            }
            long lifetimeNanos = node.path("ttl_ms").asLong() * NANOS_PER_MILLI;
            return new Answer(
                    weighted,
                    node.path("incarnation").asText(),
                    node.path("epoch").asLong(),
                    System.nanoTime() + lifetimeNanos);
        }

        String choose() {
            return addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
        }

        boolean mentions(String baseUrl) {
            return addresses.contains(baseUrl);
        }
    }
}
