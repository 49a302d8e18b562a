package org.turmericspan.publication;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.heads.StrictHeads;
import org.turmericspan.ids.SocketAddress;

/** Reads values from the platform by HTTP long polling: {@code GET /v1/values/KEY?after=REVISION&wait_ms=N}. */
public final class HttpPlatformReader implements PlatformReader, AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(5);

    private final SocketAddress platform;
    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client;

    /**
     * Creates a reader.
     *
     * @param platform address of the platform
     */
    public HttpPlatformReader(SocketAddress platform) {
        this.platform = platform;
        this.client = new OkHttpClient.Builder()
                .readTimeout(Duration.ZERO)
                .retryOnConnectionFailure(false)
                .addNetworkInterceptor(new StrictHeads())
                .build();
    }

    @Override
    public CompletionStage<Optional<PlatformValue>> watch(String key, long afterRevision, Duration wait) {
        HttpUrl url = new HttpUrl.Builder()
                .scheme("http")
                .host(platform.host())
                .port(platform.port())
                .addPathSegments("v1/values")
                .addPathSegment(key)
                .addQueryParameter("after", Long.toString(afterRevision))
                .addQueryParameter("wait_ms", Long.toString(wait.toMillis()))
                .build();
        Call call = client.newCall(new Request.Builder().url(url).build());
        call.timeout().timeout(wait.plus(TIMEOUT_MARGIN).toNanos(), java.util.concurrent.TimeUnit.NANOSECONDS);
        CompletableFuture<Optional<PlatformValue>> result = new CompletableFuture<>();
        call.enqueue(new ValueCallback(result));
        return result;
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private Optional<PlatformValue> read(Response response) throws IOException {
        if (response.code() == STATUS_NOT_MODIFIED) {
            return Optional.empty();
        }
        if (response.code() != STATUS_OK) {
            throw new BalancerException(ResultCode.PLATFORM_FAILURE, "Unexpected status " + response.code());
        }
        JsonNode root = mapper.readTree(response.body().byteStream());
        if (!root.path("revision").isIntegralNumber() || !root.path("value").isTextual()) {
            throw new BalancerException(ResultCode.PLATFORM_FAILURE, "The response lacks the revision or the value");
        }
        return Optional.of(new PlatformValue(
                root.path("revision").longValue(), root.path("value").textValue()));
    }

    private final class ValueCallback implements Callback {
        private final CompletableFuture<Optional<PlatformValue>> result;

        ValueCallback(CompletableFuture<Optional<PlatformValue>> result) {
            this.result = result;
        }

        @Override
        public void onFailure(Call call, IOException failure) {
            result.completeExceptionally(new BalancerException(ResultCode.PLATFORM_FAILURE, "No response", failure));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                result.complete(read(response));
            } catch (IOException | RuntimeException e) {
                result.completeExceptionally(e);
            }
        }
    }
}
