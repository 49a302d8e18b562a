package org.turmericspan.upstream;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
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

/** Sends attempts over HTTP. Its thread pool is bounded by the slots, since each attempt needs one. */
public final class HttpUpstreamSender implements UpstreamSender, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int CHECK_TIMEOUT_MILLIS = 200;
    /** Time for which an accepted check must stay open; a process that ends closes its sockets within less. */
    private static final int CHECK_HOLD_MILLIS = 40;
    /** Connections of one check; each one that is broken off may have met the last moment of a process. */
    private static final int CHECK_CONNECTIONS = 3;

    private static final int MAX_REQUESTS = 4_096;

    private final MonotonicClock clock;
    private final ExecutorService executor;
    private final Dispatcher dispatcher;
    private final UpstreamClients clients;

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
        this.dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(MAX_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
        OkHttpClient template = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
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
     * Finds out whether an upstream refuses connections.
     *
     * @param address where the upstream listens
     * @return true when it does; false when it takes one or says nothing for a while
     */
    public CompletionStage<Boolean> isRefused(SocketAddress address) {
        CompletableFuture<Boolean> refused = new CompletableFuture<>();
        executor.execute(() -> refused.complete(refuses(address)));
        return refused;
    }

    @Override
    public void close() {
        dispatcher.cancelAll();
        executor.shutdown();
        clients.close();
    }

    private static boolean refuses(SocketAddress address) {
        for (int i = 0; i < CHECK_CONNECTIONS; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(address.host(), address.port()), CHECK_TIMEOUT_MILLIS);
                if (staysOpen(socket)) {
                    return false;
                }
            } catch (ConnectException e) {
                return true;
            } catch (IOException e) {
                return false;
            }
        }
        return false;
    }

    /** Tells whether the other side keeps an accepted connection, which a process that is ending does not. */
    private static boolean staysOpen(Socket socket) throws IOException {
        socket.setSoTimeout(CHECK_HOLD_MILLIS);
        try {
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (SocketException e) {
            return false;
        }
    }
}
