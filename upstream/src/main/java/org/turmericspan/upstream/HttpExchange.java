package org.turmericspan.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSource;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Header;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.heads.StrictHeads;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Sends one attempt over HTTP and classifies its outcome. */
final class HttpExchange implements UpstreamExchange, Callback {
    private static final CallResult.Answered NO_RESPONSE = new CallResult.Answered(0, List.of(), Payload.EMPTY);
    private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(200);
    private static final int STATUS_UNAVAILABLE = 503;
    /** Header fields, in lower case, that belong to one connection or that the HTTP client writes itself. */
    private static final Set<String> HEADERS_NOT_FORWARDED = Set.of(
            "connection",
            "transfer-encoding",
            "content-length",
            "keep-alive",
            "host",
            "te",
            "upgrade",
            "accept-encoding");

    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

    private final UpstreamClients clients;
    private final SocketAddress address;
    private final MonotonicClock clock;
    private final SendProof proof;
    private final String requestId;
    private final String attemptId =
            Long.toHexString(ThreadLocalRandom.current().nextLong());
    private final long deadlineNanos;
    private final int answerLimitBytes;
    private final CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
    private Call call;
    private volatile boolean cancelled;

    private HttpExchange(
            UpstreamClients clients, MonotonicClock clock, SlotLease lease, CallRequest request, int answerLimitBytes) {
        this.clients = clients;
        this.address = lease.address();
        this.clock = clock;
        this.proof = new SendProof(lease, clock);
        this.requestId = request.requestId().value();
        this.deadlineNanos = request.deadlineNanos();
        this.answerLimitBytes = answerLimitBytes;
    }

    static HttpExchange start(
            UpstreamClients clients, MonotonicClock clock, SlotLease lease, CallRequest request, int answerLimitBytes) {
        HttpExchange exchange = new HttpExchange(clients, clock, lease, request, answerLimitBytes);
        long remainingNanos = request.deadlineNanos() - clock.nowNanos();
        if (remainingNanos <= 0) {
            exchange.completeWithoutResponse(AttemptOutcome.Kind.CANCELLED_BEFORE_SEND, UpstreamSignals.NONE);
            return exchange;
        }
        boolean mayReuse = request.idempotent() && !request.retried();
        OkHttpClient client = mayReuse ? clients.pooled(lease.address()) : clients.unpooled();
        exchange.call = client.newCall(exchange.encode(lease, request, remainingNanos));
        exchange.call.timeout().timeout(remainingNanos, TimeUnit.NANOSECONDS);
        exchange.call.enqueue(exchange);
        return exchange;
    }

    @Override
    public CompletionStage<AttemptOutcome> outcome() {
        return outcome;
    }

    @Override
    public void cancel() {
        cancelled = true;
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public void onFailure(Call failedCall, IOException failure) {
        AttemptOutcome.Kind kind = classify(failure);
        if (mayBeUnresponsive(kind)) {
            clients.dropPool(address);
        }
        completeWithoutResponse(kind, UpstreamSignals.NONE);
    }

    @Override
    public void onResponse(Call respondedCall, Response response) {
        try (response) {
            readResponse(response);
        } catch (IOException e) {
            completeWithoutResponse(classify(e), UpstreamSignals.NONE);
        }
    }

    private Request encode(SlotLease lease, CallRequest request, long remainingNanos) {
        Request.Builder builder = new Request.Builder()
                .url("http://" + lease.address() + request.path())
                .tag(SendProof.class, proof)
                .header(UpstreamHeaders.ACCEPT_ENCODING, UpstreamHeaders.IDENTITY);
        for (Header header : request.headers()) {
            if (!HEADERS_NOT_FORWARDED.contains(header.name().toLowerCase(Locale.ROOT))) {
                builder.addHeader(header.name(), header.value());
            }
        }
        builder.header(UpstreamHeaders.REQUEST_ID, requestId)
                .header(UpstreamHeaders.ATTEMPT_ID, attemptId)
                .header(UpstreamHeaders.DEADLINE_MS, Long.toString(TimeUnit.NANOSECONDS.toMillis(remainingNanos)))
                .header(UpstreamHeaders.DEPTH, Integer.toString(request.depth() + 1));
        if (request.retried()) {
            builder.header(UpstreamHeaders.RETRIED, UpstreamHeaders.YES);
        }
        boolean hasBody = request.body().length() > 0 || METHODS_WITH_BODY.contains(request.method());
        RequestBody body = hasBody ? RequestBody.create(request.body().bytes(), null) : null;
        return builder.method(request.method(), body).build();
    }

    private void readResponse(Response response) throws IOException {
        UpstreamSignals signals = UpstreamHeaders.signals(response);
        if (!ResponseCheck.belongsTo(response, requestId, attemptId)
                || !ResponseCheck.isSelfDelimited(response)
                || !ResponseCheck.hasOneStatusLine(response)) {
            completeWithoutResponse(AttemptOutcome.Kind.CONNECTION_LOST, signals);
            return;
        }
        ResponseBody body = response.body();
        BufferedSource source = body.source();
        if (source.request(answerLimitBytes + 1L)) {
            completeWithoutResponse(AttemptOutcome.Kind.ANSWER_TOO_LARGE, signals);
            return;
        }
        byte[] bytes = source.readByteArray();
        proof.closeUnlessReusable();
        if (!StrictHeads.areFieldsWellFormed(response.trailers())
                || !ResponseCheck.hasOneBody(bytes, proof.received())) {
            completeWithoutResponse(AttemptOutcome.Kind.CONNECTION_LOST, signals);
            return;
        }
        boolean notRun = UpstreamHeaders.YES.equals(response.header(UpstreamHeaders.NOT_RUN));
        if (notRun && response.code() == STATUS_UNAVAILABLE) {
            completeWithoutResponse(AttemptOutcome.Kind.SHED, signals);
            return;
        }
        Payload payload = Payload.wrap(bytes);
        complete(new AttemptOutcome(
                AttemptOutcome.Kind.COMPLETE,
                new CallResult.Answered(response.code(), headers(response), payload),
                elapsed(),
                signals));
    }

    private static List<Header> headers(Response response) {
        List<Header> headers = new ArrayList<>();
        response.headers().forEach(pair -> {
            String name = pair.getFirst();
            if (name.equalsIgnoreCase(UpstreamHeaders.HELD_RETRY_AFTER)) {
                headers.add(new Header(UpstreamHeaders.RETRY_AFTER, pair.getSecond()));
            } else if (!HEADERS_NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
                headers.add(new Header(name, pair.getSecond()));
            }
        });
        return headers;
    }

    private AttemptOutcome.Kind classify(IOException failure) {
        if (failure instanceof SendProof.LeaseInvalidException) {
            return AttemptOutcome.Kind.LEASE_INVALID;
        }
        boolean pastDeadline = clock.nowNanos() >= deadlineNanos;
        if (!proof.isSent()) {
            return cancelled || pastDeadline
                    ? AttemptOutcome.Kind.CANCELLED_BEFORE_SEND
                    : AttemptOutcome.Kind.CONNECT_FAILED;
        }
        if (cancelled) {
            return AttemptOutcome.Kind.CANCELLED_AFTER_SEND;
        }
        return pastDeadline ? AttemptOutcome.Kind.TIMED_OUT : AttemptOutcome.Kind.CONNECTION_LOST;
    }

    /** Returns whether the attempt waited so long without a response that its connection may be unresponsive. */
    private boolean mayBeUnresponsive(AttemptOutcome.Kind kind) {
        boolean timedOutOrCancelled =
                kind == AttemptOutcome.Kind.TIMED_OUT || kind == AttemptOutcome.Kind.CANCELLED_AFTER_SEND;
        return timedOutOrCancelled && elapsed().compareTo(UNRESPONSIVE_AFTER) >= 0;
    }

    private Duration elapsed() {
        return proof.isSent() ? Duration.ofNanos(clock.nowNanos() - proof.sentNanos()) : Duration.ZERO;
    }

    private void completeWithoutResponse(AttemptOutcome.Kind kind, UpstreamSignals signals) {
        complete(new AttemptOutcome(kind, NO_RESPONSE, elapsed(), signals));
    }

    private void complete(AttemptOutcome result) {
        outcome.complete(result);
    }
}
