package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** Runs one entry node with a waiting room and more callers than its one server has slots. */
class EntryWaitingRoomTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS_OF_A_CALLER = 5;
    private static final long WORK_MILLIS = 60;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final Queue<Response> responses = new ConcurrentLinkedQueue<>();
    private PlatformStandIn platform;
    private NodeProcess node;

    @BeforeEach
    void startNode() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(3, "/a/", "unsafe");
        platform.addServer("i-0", "zone-a").setWorkMillis(WORK_MILLIS);
        int port = 29_004 + (int) (ProcessHandle.current().pid() % 400) * 8;
        node = new NodeProcess("127.0.9.1", "zone-a", port, "127.0.9.1:1", platform.address())
                .withSettings(List.of("waiting-room-requests=32"))
                .start();
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!node.isReady() || node.request("POST", "/a/warm", "w").status() != 200) {
            assertThat(System.nanoTime()).as("serves").isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
        platform.close();
    }

    private void send(int caller) {
        for (int i = 0; i < REQUESTS_OF_A_CALLER; i++) {
            String id = "c-" + caller + "-" + i;
            responses.add(node.request("POST", "/a/" + id, id, RESPONSE_TIMEOUT));
        }
    }

    @Test
    void requestsWaitForSlotsAndEachGetsOneResponse() throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Thread thread = new Thread(() -> send(caller), "caller-" + i);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        assertThat(responses).hasSize(CALLERS * REQUESTS_OF_A_CALLER);
        assertThat(responses).allMatch(response -> response.status() == 200 || response.status() == 503);
        assertThat(responses).filteredOn(response -> response.status() == 200).hasSizeGreaterThan(responses.size() / 2);
        assertThat(Integer.parseInt(node.metric("waited_desk_seconds_count"))).isPositive();
        assertThat(node.metric("waiting_desk")).isEqualTo("0");
    }
}
