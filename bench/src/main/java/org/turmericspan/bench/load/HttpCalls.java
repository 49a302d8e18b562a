package org.turmericspan.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.turmericspan.heads.StrictHeads;

/** Sends single requests over HTTP and classifies the responses. */
public final class HttpCalls implements AutoCloseable {
    private static final int MAX_REQUESTS = 20_000;
    private static final int MAX_IDLE_CONNECTIONS = 2_000;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(2);

    private final ObjectMapper mapper = new ObjectMapper();
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "caller");
        thread.setDaemon(true);
        return thread;
    });
    private final OkHttpClient client;

    /** Creates a client that keeps its connections open for reuse. */
    public HttpCalls() {
        Dispatcher dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(MAX_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
                .readTimeout(Duration.ZERO)
                .retryOnConnectionFailure(false)
                .addNetworkInterceptor(new StrictHeads())
                .build();
    }

    /**
     * Requests a JSON document.
     *
     * @param url URL of the document
     * @return the parsed body; the future fails if no readable body arrives
     */
    public CompletableFuture<JsonNode> getJson(String url) {
        CompletableFuture<JsonNode> result = new CompletableFuture<>();
        Call call = client.newCall(new Request.Builder().url(url).build());
        call.timeout().timeout(TIMEOUT_MARGIN.toMillis(), TimeUnit.MILLISECONDS);
        call.enqueue(new ResponseCallback<>(
                result, response -> mapper.readTree(response.body().byteStream())));
        return result;
    }

    /**
     * Sends one request to a base URL.
     *
     * @param baseUrl URL that is the prefix of the service's paths, without a trailing slash
     * @param spec the request
     * @param runToken run token of an order, or empty
     * @return the result of the request
     */
    public CompletableFuture<RequestResult> send(String baseUrl, CallSpec spec, String runToken) {
        String requestId = requestId(spec);
        Request.Builder request = new Request.Builder()
                .url(baseUrl + (spec.isOrder() ? "/orders" : "/stock") + "?work_ms="
                        + spec.work().toMillis() + "&size=" + spec.responseBytes())
                .header("Turmericspan-Office", "office-" + spec.office())
                .header("Turmericspan-Caller", "caller-" + spec.caller())
                .header("Turmericspan-Request-Id", requestId)
                .header(
                        "Turmericspan-Deadline-Ms",
                        Long.toString(spec.deadline().toMillis()));
        if (spec.isOrder()) {
            request.header("Order-Id", orderId(spec)).post(RequestBody.create(spec.body(), null));
        }
        if (!runToken.isEmpty()) {
            request.header("Turmericspan-Run-Token", runToken);
        }
        CompletableFuture<RequestResult> callResult = new CompletableFuture<>();
        Call call = client.newCall(request.build());
        call.timeout().timeout(spec.deadline().plus(TIMEOUT_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
        call.enqueue(new ResponseCallback<>(callResult, response -> classify(requestId, spec, response)));
        return callResult.exceptionally(failure -> RequestResult.FAILED);
    }

    /**
     * Builds the identifier by which the stand-in upstream counts the runs of an order.
     *
     * @param spec the request
     * @return the identifier of the order
     */
    public static String orderId(CallSpec spec) {
        return "order-" + spec.number();
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        executor.shutdown();
        client.connectionPool().evictAll();
    }

    private static String requestId(CallSpec spec) {
        return "request-" + spec.office() + "-" + spec.caller() + "-" + spec.number();
    }

    private RequestResult classify(String requestId, CallSpec spec, Response response) throws IOException {
        byte[] body = response.body().bytes();
        if (response.code() < STATUS_CLIENT_ERROR) {
            return new RequestResult(ResponseVerifier.check(requestId, spec.responseBytes(), body), 0);
        }
        JsonNode refusal = mapper.readTree(body);
        int code = refusal == null ? 0 : refusal.path("code").asInt();
        boolean isNotRun = refusal != null && refusal.path("ran").asText().equals("no");
        return new RequestResult(isNotRun ? CallOutcome.REFUSED : CallOutcome.UNKNOWN, code);
    }

    /** Reads a response into a value. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(Response response) throws IOException;
    }

    private record ResponseCallback<T>(CompletableFuture<T> result, ResponseReader<T> reader) implements Callback {
        @Override
        public void onFailure(Call call, IOException failure) {
            result.completeExceptionally(failure);
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                result.complete(reader.read(response));
            } catch (IOException | RuntimeException e) {
                result.completeExceptionally(e);
            }
        }
    }
}
