package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.turmericspan.heads.StrictHeads;
import org.turmericspan.ids.SocketAddress;

/** Sends HTTP requests to several nodes in parallel, each with a timeout. */
final class NodeClient implements AutoCloseable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(REQUEST_TIMEOUT)
            .followRedirects(false)
            .addNetworkInterceptor(new StrictHeads())
            .build();

    NodeResponse get(SocketAddress address, String path) {
        return getAll(List.of(address), path).get(0);
    }

    /** Requests the path from every address and returns the responses in the order of the addresses. */
    List<NodeResponse> getAll(List<SocketAddress> addresses, String path) {
        return getAll(addresses, path, mapper::readTree);
    }

    /** Requests plain text from every address; the body of each response is a text node. */
    List<NodeResponse> getAllText(List<SocketAddress> addresses, String path) {
        return getAll(addresses, path, TextNode::valueOf);
    }

    private List<NodeResponse> getAll(List<SocketAddress> addresses, String path, BodyReader reader) {
        List<CompletableFuture<NodeResponse>> responses =
                addresses.stream().map(address -> start(address, path, reader)).toList();
        return responses.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private CompletableFuture<NodeResponse> start(SocketAddress address, String path, BodyReader reader) {
        CompletableFuture<NodeResponse> result = new CompletableFuture<>();
        Request request = new Request.Builder().url("http://" + address + path).build();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException failure) {
                result.complete(NodeResponse.failed(address, failure.getMessage()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                result.complete(read(address, response, reader));
            }
        });
        return result;
    }

    private NodeResponse read(SocketAddress address, Response response, BodyReader reader) {
        try (response) {
            String text = response.body().string();
            return response.isSuccessful()
                    ? NodeResponse.of(address, reader.read(text))
                    : NodeResponse.failed(address, "HTTP status " + response.code() + " " + text.strip());
        } catch (IOException e) {
            return NodeResponse.failed(address, e.getMessage());
        }
    }

    /** Reads the body of a successful response. */
    @FunctionalInterface
    private interface BodyReader {
        JsonNode read(String text) throws IOException;
    }
}
