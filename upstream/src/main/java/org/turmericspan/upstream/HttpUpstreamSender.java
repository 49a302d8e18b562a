package org.turmericspan.upstream;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.calls.UpstreamSender;
import org.turmericspan.ids.MonotonicClock;

/** Sends attempts over HTTP. Its thread pool is bounded by the slots, since each attempt needs one. */
public final class HttpUpstreamSender implements UpstreamSender, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IDLE_CONNECTION_AGE = Duration.ofSeconds(30);
    private static final int MAX_IDLE_CONNECTIONS = 512;
    private static final int MAX_REQUESTS = 4_096;

    private final MonotonicClock clock;
    private final ExecutorService executor;
    private final OkHttpClient client;

    /**
     * Creates a sender.
     *
     * @param clock measures attempts
     */
    public HttpUpstreamSender(MonotonicClock clock) {
        this.clock = clock;
        AtomicInteger sequence = new AtomicInteger();
        this.executor = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "upstream-" + sequence.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
        Dispatcher dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(MAX_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(
                        new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_AGE.toSeconds(), TimeUnit.SECONDS))
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .followRedirects(false)
                .retryOnConnectionFailure(false)
                .addNetworkInterceptor(new SendProof.Interceptor())
                .build();
    }

    @Override
    public UpstreamExchange send(SlotLease lease, CallRequest request, int answerLimitBytes) {
        return HttpExchange.start(client, clock, lease, request, answerLimitBytes);
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        executor.shutdown();
        client.connectionPool().evictAll();
    }
}
