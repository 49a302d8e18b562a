package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Await;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;

/**
 * Guards against a fleet that overloads upstreams with probes or the platform with reads. That comes about when probes
 * grow with the number of nodes or when failed reads are retried without a rate limit. Both are counted at the
 * receiver.
 */
final class MeasuringCostTest {
    private static final int NODES = 4;
    private static final int UPSTREAMS = 8;
    private static final int PROBES_PER_SECOND = 20;
    private static final int CALLS = 400;
    private static final int READ_BURST = 4;
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(40);

    private static final OkHttpClient CLIENT = new OkHttpClient();

    private static Fleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = Fleet.start(FleetPlan.simple(NODES, UPSTREAMS));
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
        CLIENT.dispatcher().executorService().shutdown();
        CLIENT.connectionPool().evictAll();
    }

    @Test
    void probesStayWithinTheBudgetWhileCallersAreBusy() {
        fleet.warmUpstreams();
        long startNanos = System.nanoTime();
        long earlierCount = fleet.witnessSum("probes");
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            statuses.add(call(fleet.nodes().get(i % NODES), "request-" + i));
        }
        statuses.forEach(CompletableFuture::join);
        Await.until(
                "upstreams receive probes",
                WAIT_LIMIT,
                () -> fleet.witnessSum("probes") - earlierCount >= 2 * PROBES_PER_SECOND);

        assertThat(fleet.witnessSum("started")).isPositive();
        long probes = fleet.witnessSum("probes") - earlierCount;
        assertThat((double) probes).isLessThanOrEqualTo(PROBES_PER_SECOND * secondsSince(startNanos) + UPSTREAMS);
    }

    @Test
    void platformReadsStayWithinTheLimitDuringAnOutageAndAfterIt() {
        long startNanos = System.nanoTime();
        long earlierCount = platformReads();
        fleet.http().post(fleet.platformUrl() + "/control/down?on=true");
        Await.until("nodes retry reads of the platform", WAIT_LIMIT, () -> platformReads() - earlierCount >= 4 * NODES);
        fleet.http().post(fleet.platformUrl() + "/control/down?on=false");
        fleet.publish();
        fleet.awaitInForce(WAIT_LIMIT);

        double readLimit = NODES * (READ_BURST + secondsSince(startNanos) + 1);
        assertThat((double) (platformReads() - earlierCount)).isLessThanOrEqualTo(readLimit);
    }

    private static CompletableFuture<Integer> call(FleetNode node, String requestId) {
        Request request = new Request.Builder()
                .url(node.callerUrl() + "/v1/services/ordering/stock?work_ms=20")
                .header("Turmericspan-Office", "pressroom")
                .header("Turmericspan-Caller", "mari")
                .header("Turmericspan-Request-Id", requestId)
                .build();
        CompletableFuture<Integer> status = new CompletableFuture<>();
        CLIENT.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException failure) {
                status.completeExceptionally(failure);
            }

            @Override
            public void onResponse(Call call, Response response) {
                response.close();
                status.complete(response.code());
            }
        });
        return status;
    }

    private static long platformReads() {
        return Long.parseLong(fleet.http().get(fleet.platformUrl() + "/control/reads"));
    }

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / (double) Duration.ofSeconds(1).toNanos();
    }
}
