package org.turmericspan.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;

/**
 * Guards against a refusal that tells the caller that a request did not run, although a duplicate with the same run
 * token may have run. This can happen if the request is refused before its run token is looked up.
 */
final class RefusalBeforeLookupTest {
    private static final String TOKEN = "1.0." + "0".repeat(32) + ".mari";

    @Test
    void refusalWithoutTokenReportsNotRun() throws IOException, InterruptedException {
        assertThat(refusal(Optional.empty())).contains("\"code\":1103").contains("\"ran\":\"no\"");
    }

    @Test
    void refusalWithTokenReportsUnknownRan() throws IOException, InterruptedException {
        assertThat(refusal(Optional.of(TOKEN))).contains("\"code\":1103").contains("\"ran\":\"unknown\"");
    }

    private static String refusal(Optional<String> token) throws IOException, InterruptedException {
        SocketAddress address = freeAddress();
        try (CallerServer server = new CallerServer(
                request -> {
                    throw new AssertionError("The request is refused before it is handled");
                },
                service -> Optional.empty(),
                new FixedTokenIssuer(),
                new SingleServiceCatalog(),
                MonotonicClock.system())) {
            server.start(address);
            HttpRequest.Builder request = HttpRequest.newBuilder(
                            URI.create("http://" + address + "/v1/services/ordering/orders"))
                    .header(CallerHeaders.DEADLINE_MS_LOWER, "0")
                    .header(CallerHeaders.REQUEST_ID, "request-1")
                    .header(CallerHeaders.OFFICE_LOWER, "pressroom")
                    .header(CallerHeaders.CALLER_LOWER, "mari");
            token.ifPresent(value -> request.header(CallerHeaders.RUN_TOKEN, value));
            return HttpClient.newHttpClient()
                    .send(request.build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        }
    }

    private static SocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new SocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static final class SingleServiceCatalog implements ServiceCatalog {
        @Override
        public Optional<ServiceLimits> limits(ServiceId service) {
            return Optional.of(new ServiceLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 1, 1));
        }

        @Override
        public boolean isIdempotent(ServiceId service, String method, String path) {
            return false;
        }

        @Override
        public boolean requiresRunToken(ServiceId service, String method, String path) {
            return true;
        }
    }

    private static final class FixedTokenIssuer implements TokenIssuer {
        @Override
        public Incarnation incarnation() {
            return new Incarnation(1);
        }

        @Override
        public Epoch epoch() {
            return new Epoch(0);
        }
    }
}
