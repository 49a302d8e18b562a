package org.turmericspan.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.turmericspan.heads.StrictHeads;

/** Blocking HTTP client for control ports and operator ports. It throws when the response status is not 2xx. */
public final class Http implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(TIMEOUT)
            .addNetworkInterceptor(new StrictHeads())
            .build();

    /**
     * Sends a GET request and parses the response as JSON.
     *
     * @param url URL to read
     * @return body of the response
     */
    public JsonNode getJson(String url) {
        try {
            return mapper.readTree(get(url));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends a GET request.
     *
     * @param url URL to read
     * @return body of the response
     */
    public String get(String url) {
        return call(new Request.Builder().url(url).build());
    }

    /**
     * Sends a POST request with an empty body.
     *
     * @param url URL to post to
     * @return body of the response
     */
    public String post(String url) {
        return call(new Request.Builder()
                .url(url)
                .post(RequestBody.create(new byte[0], null))
                .build());
    }

    /**
     * Sends a PUT request.
     *
     * @param url URL to write
     * @param text request body
     * @return body of the response
     */
    public String put(String url, String text) {
        return call(new Request.Builder()
                .url(url)
                .put(RequestBody.create(text, null))
                .build());
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private String call(Request request) {
        try (Response response = client.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException("HTTP status " + response.code() + " from " + request.url());
            }
            return response.body().string();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
