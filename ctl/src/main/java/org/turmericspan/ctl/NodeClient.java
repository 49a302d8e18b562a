package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.turmericspan.ids.SocketAddress;

/** Asks nodes over HTTP, all at once, each within a time limit. */
final class NodeClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ObjectMapper mapper = new ObjectMapper();
    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(TIMEOUT)
            .followRedirects(false)
            .build();

    NodeAnswer get(SocketAddress address, String path) {
        return getAll(List.of(address), path).get(0);
    }

    /** Asks every address and returns the answers in the order of the addresses. */
    List<NodeAnswer> getAll(List<SocketAddress> addresses, String path) {
        List<CompletableFuture<NodeAnswer>> answers =
                addresses.stream().map(address -> start(address, path)).toList();
        return answers.stream().map(CompletableFuture::join).toList();
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private CompletableFuture<NodeAnswer> start(SocketAddress address, String path) {
        CompletableFuture<NodeAnswer> answer = new CompletableFuture<>();
        Request request = new Request.Builder().url("http://" + address + path).build();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException failure) {
                answer.complete(NodeAnswer.failed(address, failure.getMessage()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                answer.complete(read(address, response));
            }
        });
        return answer;
    }

    private NodeAnswer read(SocketAddress address, Response response) {
        try (response) {
            String text = response.body().string();
            return response.isSuccessful()
                    ? NodeAnswer.of(address, mapper.readTree(text))
                    : NodeAnswer.failed(address, "status " + response.code() + " " + text.strip());
        } catch (IOException e) {
            return NodeAnswer.failed(address, e.getMessage());
        }
    }
}
