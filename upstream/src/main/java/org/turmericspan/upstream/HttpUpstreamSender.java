package org.turmericspan.upstream;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.calls.UpstreamSender;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Sends attempts over HTTP. The slots bound its thread pool, because each attempt needs a slot. */
public final class HttpUpstreamSender implements UpstreamSender, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /** Requires an accepted connection to stay open for 40 ms; a process that exits closes its sockets sooner. */
    private static final ConnectionRefusalCheck REFUSAL_CHECK = new ConnectionRefusalCheck(40);

    private static final int MAX_CONCURRENT_REQUESTS = 4_096;

    private final MonotonicClock clock;
    private final ExecutorService executor;
    private final Dispatcher dispatcher;
    private final UpstreamClients clients;

    /**
     * Creates a sender.
     *
     * @param clock clock that measures the duration of attempts
     */
    public HttpUpstreamSender(MonotonicClock clock) {
        this.clock = clock;
        AtomicInteger sequence = new AtomicInteger();
        this.executor = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "upstream-" + sequence.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
        this.dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
        OkHttpClient template = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .socketFactory(new ObservedSockets())
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .followRedirects(false)
                .retryOnConnectionFailure(false)
                .addNetworkInterceptor(new SendProof.Interceptor())
                .build();
        this.clients = new UpstreamClients(template, clock);
    }

    @Override
    public UpstreamExchange send(SlotLease lease, CallRequest request, int answerLimitBytes) {
        return HttpExchange.start(clients, clock, lease, request, answerLimitBytes);
    }

    /**
     * Checks whether an upstream refuses connections, without blocking the calling thread.
     *
     * @param address where the upstream listens
     * @return true if it refuses one; false if it keeps one open or does not respond in time
     */
    public CompletionStage<Boolean> isRefused(SocketAddress address) {
        CompletableFuture<Boolean> refused = new CompletableFuture<>();
        executor.execute(() -> refused.complete(REFUSAL_CHECK.isRefused(address)));
        return refused;
    }

    @Override
    public void close() {
        dispatcher.cancelAll();
        executor.shutdown();
        clients.close();
    }
}
