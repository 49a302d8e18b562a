package org.turmericspan.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HexFormat;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** One caller of a shared office. It caches the located addresses of a service for their TTL and sends requests. */
final class DemoCaller implements Runnable {
    private static final int REQUESTS_PER_ORDER = 5;
    private static final int NONCE_BYTES = 16;
    private static final int MAX_ADDRESSES = 4;

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client;
    private final String service;
    private final String name;
    private final String locateUrl;
    private final Random random;
    private final AtomicReference<Phase> phase;
    private JsonNode cachedLocateResponse;
    private long cacheExpiryNanos;
    private long sequence;

    DemoCaller(OkHttpClient client, String service, String name, String nodeUrl, AtomicReference<Phase> phase) {
        this.client = client;
        this.service = service;
        this.name = name;
        this.locateUrl = nodeUrl + "/v1/locate?service=" + service;
        this.random = new Random(name.hashCode());
        this.phase = phase;
    }

    /** Sends one request if a phase is in progress. */
    @Override
    public void run() {
        Phase current = phase.get();
        if (current != null) {
            sequence++;
            boolean isOrder = sequence % REQUESTS_PER_ORDER == 0;
            send(isOrder, isOrder ? current.orders() : current.lookups());
        }
    }

    private void send(boolean isOrder, PhaseCounts counts) {
        long startNanos = System.nanoTime();
        try (Response response = client.newCall(isOrder ? order() : lookup()).execute()) {
            if (response.isSuccessful() && response.body().string().startsWith(requestId() + "\n")) {
                counts.recordSuccess(System.nanoTime() - startNanos);
            } else {
                counts.recordRefusal();
            }
        } catch (IOException e) {
            cacheExpiryNanos = 0;
            counts.recordFailure();
        }
    }

    private Request lookup() throws IOException {
        JsonNode addresses = locate().path("addresses");
        int index = random.nextInt(Math.min(MAX_ADDRESSES, Math.max(1, addresses.size())));
        return request(addresses.path(index).path("address").asText(), "/stock?work_ms=4&size=300")
                .build();
    }

    /** Builds an order with a new run token of the node incarnation that sent the locate response. */
    private Request order() throws IOException {
        JsonNode locateResponse = locate();
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        String token = locateResponse.path("incarnation").asText() + "."
                + locateResponse.path("epoch").asText() + "."
                + HexFormat.of().formatHex(nonce) + "." + name;
        String address =
                locateResponse.path("addresses").path(0).path("address").asText();
        return request(address, "/orders?work_ms=8")
                .header("Turmericspan-Run-Token", token)
                .header("Order-Id", requestId())
                .post(RequestBody.create("one batch", null))
                .build();
    }

    private Request.Builder request(String address, String path) {
        return new Request.Builder()
                .url("http://" + address + "/v1/services/" + service + path)
                .header("Turmericspan-Office", "demo-office")
                .header("Turmericspan-Caller", name)
                .header("Turmericspan-Request-Id", requestId());
    }

    private String requestId() {
        return name + "-" + sequence;
    }

    private JsonNode locate() throws IOException {
        if (cachedLocateResponse == null || System.nanoTime() - cacheExpiryNanos >= 0) {
            try (Response response =
                    client.newCall(new Request.Builder().url(locateUrl).build()).execute()) {
                cachedLocateResponse = mapper.readTree(response.body().string());
            }
            long ttlMillis = cachedLocateResponse.path("ttl_ms").asLong();
            cacheExpiryNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis);
        }
        return cachedLocateResponse;
    }
}
