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

/** What the fleet costs upstreams and the platform, counted where it arrives. */
final class MeasuringCostTest {
    private static final int NODES = 4;
    private static final int UPSTREAMS = 8;
    private static final int PROBES_PER_SECOND = 20;
    private static final int CALLS = 400;
    private static final int READ_BURST = 4;
    private static final Duration GENEROUS = Duration.ofSeconds(40);

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
        long before = fleet.witnessSum("probes");
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            answers.add(call(fleet.nodes().get(i % NODES), "request-" + i));
        }
        answers.forEach(CompletableFuture::join);
        Await.until("some probes", GENEROUS, () -> fleet.witnessSum("probes") - before >= 2 * PROBES_PER_SECOND);

        assertThat(fleet.witnessSum("started")).isPositive();
        long probes = fleet.witnessSum("probes") - before;
        assertThat((double) probes).isLessThanOrEqualTo(PROBES_PER_SECOND * secondsSince(startNanos) + UPSTREAMS);
    }

    @Test
    void readsStayBoundedWhileThePlatformIsDownAndRightAfter() {
        long startNanos = System.nanoTime();
        long before = reads();
        fleet.http().post(fleet.platformUrl() + "/control/down?on=true");
        Await.until("failing reads", GENEROUS, () -> reads() - before >= 4 * NODES);
        fleet.http().post(fleet.platformUrl() + "/control/down?on=false");
        fleet.publish();
        fleet.awaitInForce(GENEROUS);

        double bound = NODES * (READ_BURST + secondsSince(startNanos) + 1);
        assertThat((double) (reads() - before)).isLessThanOrEqualTo(bound);
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

    private static long reads() {
        return Long.parseLong(fleet.http().get(fleet.platformUrl() + "/control/reads"));
    }

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / (double) Duration.ofSeconds(1).toNanos();
    }
}
