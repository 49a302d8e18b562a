package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.CallHandle;
import org.turmericspan.http.CallOptions;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.SocketAddress;

/** Records the calls, so that a test decides how each one ends. */
final class FakeHttpCaller implements HttpCaller {
    private final List<SentCall> calls = new ArrayList<>();

    @Override
    public CallHandle call(
            SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        SentCall sentCall = new SentCall(request, listener);
        calls.add(sentCall);
        return () -> sentCall.cancelled = true;
    }

    int callCount() {
        return calls.size();
    }

    SentCall call(int index) {
        return calls.get(index);
    }

    /** A recorded call, which the test completes. */
    static final class SentCall {
        private final RequestMessage request;
        private final Consumer<CallEnd> listener;
        private boolean cancelled;

        SentCall(RequestMessage request, Consumer<CallEnd> listener) {
            this.request = request;
            this.listener = listener;
        }

        RequestMessage request() {
            return request;
        }

        String upstream() {
            return request.headers().first(FakeCallProtocol.EXPECTED).orElseThrow();
        }

        boolean isCancelled() {
            return cancelled;
        }

        void respond(int status) {
            ResponseMessage plain = ResponseMessage.text(status, "text/plain", "answer " + status);
            listener.accept(new CallEnd.Answered(
                    new ResponseMessage(status, plain.headers().with("signed", "1"), plain.body())));
        }

        /** Responds with a signed response that has another header. */
        void respondWith(int status, String header, String value) {
            ResponseMessage plain = ResponseMessage.text(status, "text/plain", "answer " + status);
            listener.accept(new CallEnd.Answered(new ResponseMessage(
                    status, plain.headers().with("signed", "1").with(header, value), plain.body())));
        }

        /** Proves that the request was not run, in a response that has another header. */
        void rejectWith(int status, String header, String value) {
            listener.accept(new CallEnd.Answered(new ResponseMessage(
                    status, HeaderList.EMPTY.with("not-run", "1").with(header, value), new byte[0])));
        }

        void respondUnsigned(int status) {
            listener.accept(new CallEnd.Answered(ResponseMessage.text(status, "text/plain", "answer " + status)));
        }

        void proveNotRun(int status) {
            listener.accept(new CallEnd.Answered(
                    new ResponseMessage(status, HeaderList.EMPTY.with("not-run", "1"), new byte[0])));
        }

        void breakConnection() {
            listener.accept(new CallEnd.Broken("reset"));
        }

        void failToConnect() {
            listener.accept(new CallEnd.NotSent("refused"));
        }
    }
}
