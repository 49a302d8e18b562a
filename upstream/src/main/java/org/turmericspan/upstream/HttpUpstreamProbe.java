package org.turmericspan.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.turmericspan.calls.ProbeReport;
import org.turmericspan.calls.UpstreamProbe;
import org.turmericspan.heads.StrictHeads;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Sends probes as {@code GET /load}, on connections that requests do not use. */
public final class HttpUpstreamProbe implements UpstreamProbe, AutoCloseable {
    private static final String LOAD_PATH_SEGMENT = "load";
    private static final int MAX_CONCURRENT_REQUESTS = 64;

    private final MonotonicClock clock;
    private final OkHttpClient client;

    /**
     * Creates a probe client.
     *
     * @param clock clock that measures the latency of probes
     */
    public HttpUpstreamProbe(MonotonicClock clock) {
        this.clock = clock;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .followRedirects(false)
                .retryOnConnectionFailure(false)
                .addNetworkInterceptor(new StrictHeads())
                .build();
    }

    @Override
    public CompletionStage<Optional<ProbeReport>> send(SocketAddress address, Duration timeout) {
        HttpUrl url = new HttpUrl.Builder()
                .scheme("http")
                .host(address.host())
                .port(address.port())
                .addPathSegment(LOAD_PATH_SEGMENT)
                .build();
        Call call = client.newCall(new Request.Builder().url(url).build());
        call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
        CompletableFuture<Optional<ProbeReport>> result = new CompletableFuture<>();
        call.enqueue(new ReportCallback(result, clock.nowNanos()));
        return result;
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private final class ReportCallback implements Callback {
        private final CompletableFuture<Optional<ProbeReport>> result;
        private final long sentNanos;

        ReportCallback(CompletableFuture<Optional<ProbeReport>> result, long sentNanos) {
            this.result = result;
            this.sentNanos = sentNanos;
        }

        @Override
        public void onFailure(Call call, IOException failure) {
            result.complete(Optional.empty());
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                long bodyBytes = response.body().bytes().length;
                Duration latency = Duration.ofNanos(clock.nowNanos() - sentNanos);
                long headerBytes = response.headers().byteCount()
                        + response.networkResponse().request().headers().byteCount();
                ProbeReport report =
                        new ProbeReport(UpstreamHeaders.signals(response), latency, headerBytes + bodyBytes);
                boolean isReport = response.isSuccessful()
                        && ResponseCheck.hasOneStatusLine(response)
                        && StrictHeads.areFieldsWellFormed(response.trailers());
                result.complete(isReport ? Optional.of(report) : Optional.empty());
            } catch (IOException | RuntimeException e) {
                result.complete(Optional.empty());
            }
        }
    }
}
