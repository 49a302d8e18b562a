package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** Sends more bytes to an entry node than its heap can hold, in the bodies of requests or in responses. */
class EntryMemoryTest {
    private static final int UPLOADS = 110;
    private static final int BODY_BYTES = 1_048_576;
    private static final int MAX_BODY_BYTES = 67_108_864;
    private static final int PART_BYTES = 16_384;
    private static final long PART_PAUSE_MILLIS = 31;
    private static final int SMALL_REQUESTS = 40;
    private static final long SMALL_PAUSE_MILLIS = 50;
    /** Timeout of the route. */
    private static final Duration SMALL_TIMEOUT = Duration.ofSeconds(2);

    private static final int FAULTY_REQUESTS = 150;
    private static final long FAULTY_PAUSE_MILLIS = 20;
    private static final int UPLOAD_TIMEOUT_MILLIS = 20_000;
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final List<ServerStandIn> servers = new ArrayList<>();
    private final Queue<String> uploadStatuses = new ConcurrentLinkedQueue<>();
    private PlatformStandIn platform;
    private NodeProcess node;

    @BeforeEach
    void startNode() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(
                3,
                List.of(PlatformStandIn.route("/small/", "safe"), PlatformStandIn.route("/large/", "unsafe")),
                MAX_BODY_BYTES);
        for (int i = 0; i < 8; i++) {
            servers.add(platform.addServer("i-" + i, "zone-a"));
        }
        int port = 26_000 + (int) (ProcessHandle.current().pid() % 500) * 8;
        node = new NodeProcess("127.0.7.1", "zone-a", port, "127.0.7.1:1", platform.address()).start();
        awaitServing();
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
        platform.close();
    }

    private void awaitServing() throws InterruptedException {
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!node.isReady() || node.request("GET", "/small/w", "w").status() != 200) {
            assertThat(System.nanoTime()).as("serves").isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Sends a body in parts to the end, and then reads the status line. */
    private void upload(String id) {
        try (Socket socket =
                new Socket(node.callerAddress().host(), node.callerAddress().port())) {
            socket.setSoTimeout(UPLOAD_TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(("POST /large/" + id + " HTTP/1.1\r\nHost: h.example\r\nTurmericspan-Request-Id: " + id
                            + "\r\nTurmericspan-Deadline-Ms: 2000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            byte[] part = new byte[PART_BYTES];
            for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
                output.write(part);
                TimeUnit.MILLISECONDS.sleep(PART_PAUSE_MILLIS);
            }
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            uploadStatuses.add(String.valueOf(reader.readLine()).split(" ")[1]);
        } catch (IOException | ArrayIndexOutOfBoundsException e) {
            uploadStatuses.add(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against request bodies within their limit that together make a node hang. */
    @Test
    void manyLargeBodiesAreRefusedEarlyAndSmallRequestsAreServed() throws Exception {
        List<Thread> uploads = new ArrayList<>();
        for (int i = 0; i < UPLOADS; i++) {
            String id = "u-" + i;
            Thread thread = new Thread(() -> upload(id), "upload-" + i);
            thread.setDaemon(true);
            thread.start();
            uploads.add(thread);
        }
        List<Response> small = new ArrayList<>();
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            small.add(node.request("GET", "/small/" + i, "s-" + i, SMALL_TIMEOUT));
            TimeUnit.MILLISECONDS.sleep(SMALL_PAUSE_MILLIS);
        }
        for (Thread upload : uploads) {
            upload.join();
        }

        assertThat(small).allMatch(response -> response.status() == 200);
        assertThat(uploadStatuses).hasSize(UPLOADS).containsOnly("200", "503").contains("200", "503");
        awaitServing();
    }

    /** Guards against responses without end that exhaust the memory of a node and so end the requests of others. */
    @Test
    void endlessResponsesDoNotEndOtherRequests() throws Exception {
        List<EndlessServer> faulty = new ArrayList<>();
        for (EndlessServer.Kind kind : EndlessServer.Kind.values()) {
            EndlessServer server = new EndlessServer("e-" + kind.ordinal(), kind);
            faulty.add(server);
            platform.register(server.id(), server.address(), "zone-a", "ready");
        }
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < FAULTY_REQUESTS; i++) {
            String id = "f-" + i;
            responses.add(CompletableFuture.supplyAsync(() -> node.request("GET", "/small/" + id, id)));
            TimeUnit.MILLISECONDS.sleep(FAULTY_PAUSE_MILLIS);
        }
        for (CompletableFuture<Response> response : responses) {
            Response received = response.get(40, TimeUnit.SECONDS);
            assertThat(received.status()).as(received.body()).isIn(200, 502, 503, 504);
        }
        assertThat(faulty).allMatch(server -> server.endlessResponses() > 0);

        for (EndlessServer server : faulty) {
            platform.remove("servers/" + server.id());
            server.close();
        }
        awaitServing();
        assertThat(node.isAlive()).isTrue();
    }
}
