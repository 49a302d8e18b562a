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

/** Small blocking client for control ports and operator ports. */
public final class Http implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(TIMEOUT).build();

    /**
     * Reads JSON.
     *
     * @param url where from
     * @return the body
     */
    public JsonNode getJson(String url) {
        try {
            return mapper.readTree(get(url));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads text.
     *
     * @param url where from
     * @return the body
     */
    public String get(String url) {
        return call(new Request.Builder().url(url).build());
    }

    /**
     * Posts an empty body.
     *
     * @param url where to
     * @return the answer's body
     */
    public String post(String url) {
        return call(new Request.Builder()
                .url(url)
                .post(RequestBody.create(new byte[0], null))
                .build());
    }

    /**
     * Puts a text.
     *
     * @param url where to
     * @param text the body
     * @return the answer's body
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
                throw new IOException("Status " + response.code() + " from " + request.url());
            }
            return response.body().string();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
