package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** What callers of an entry node get when servers stop within their responses. */
class EntryCutResponseTest {
    private static final int REQUESTS = 400;
    private static final long REQUEST_PAUSE_MILLIS = 10;
    private static final int CUT_SERVERS = 32;
    private static final int MIN_CUTS = 20;
    private static final long PROBES_PAUSE_MILLIS = 3_000;
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final List<CutServer> cutServers = new ArrayList<>();
    private PlatformStandIn platform;
    private NodeProcess node;

    @BeforeEach
    void startNode() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(
                3, List.of(PlatformStandIn.route("/safe/", "safe"), PlatformStandIn.route("/unsafe/", "unsafe")));
        platform.addServer("i-0", "zone-a");
        platform.addServer("i-1", "zone-a");
        int port = 30_000 + (int) (ProcessHandle.current().pid() % 500) * 8;
        node = new NodeProcess("127.0.9.1", "zone-a", port, "127.0.9.1:1", platform.address()).start();
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!node.isReady() || node.request("GET", "/safe/w", "w").status() != 200) {
            assertThat(System.nanoTime()).as("serves").isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void stop() throws IOException {
        for (CutServer server : cutServers) {
            server.close();
        }
        node.close();
        platform.close();
    }

    private CutServer addCutServer(String id, CutServer.Kind kind, boolean resets) throws IOException {
        CutServer server = new CutServer(id, kind, resets, 5 * cutServers.size());
        cutServers.add(server);
        platform.register(server.id(), server.address(), "zone-a", "ready");
        return server;
    }

    /** Adds servers that begin to cut at different bytes, since the node soon avoids each of them. */
    private void addServersThatCutResponses() throws IOException {
        for (int i = 0; i < CUT_SERVERS; i++) {
            addCutServer("cut-" + i, CutServer.Kind.REQUESTS, i % 2 == 0);
        }
    }

    private List<Response> sendRequests(String method, String path) throws Exception {
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r-" + i;
            responses.add(CompletableFuture.supplyAsync(() -> node.request(method, path + id, id)));
            TimeUnit.MILLISECONDS.sleep(REQUEST_PAUSE_MILLIS);
        }
        List<Response> received = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Response response = responses.get(i).get(40, TimeUnit.SECONDS);
            received.add(response);
            assertThat(response.status()).as(response.body()).isIn(200, 502, 503, 504);
            if (response.status() == 200) {
                assertThat(response.requestId()).isEqualTo("r-" + i);
                assertThat(response.body()).isIn("i-0", "i-1");
            }
        }
        return received;
    }

    private int cuts() {
        return cutServers.stream().mapToInt(CutServer::cuts).sum();
    }

    @Test
    void idempotentRequestsGetWholeResponsesOfOtherServers() throws Exception {
        addServersThatCutResponses();
        List<Response> responses = sendRequests("GET", "/safe/");
        assertThat(responses).anyMatch(response -> response.status() == 200);
        assertThat(cuts()).isGreaterThan(MIN_CUTS);
    }

    @Test
    void cutResponsesToOtherRequestsAreAnsweredWithBadGateway() throws Exception {
        addServersThatCutResponses();
        List<Response> responses = sendRequests("POST", "/unsafe/");
        assertThat(cuts()).isGreaterThan(MIN_CUTS);
        assertThat(responses.stream().filter(response -> response.status() == 502))
                .hasSizeGreaterThanOrEqualTo(cuts());
    }

    @Test
    void serverWithCutHealthResponsesGetsNoRequests() throws Exception {
        CutServer closing = addCutServer("closing", CutServer.Kind.HEALTH_CHECKS, false);
        CutServer resetting = addCutServer("resetting", CutServer.Kind.HEALTH_CHECKS, true);
        TimeUnit.MILLISECONDS.sleep(PROBES_PAUSE_MILLIS);
        int before = closing.requests() + resetting.requests();
        sendRequests("GET", "/safe/");
        assertThat(cuts()).isGreaterThan(1);
        assertThat(closing.requests() + resetting.requests()).isEqualTo(before);
    }
}
