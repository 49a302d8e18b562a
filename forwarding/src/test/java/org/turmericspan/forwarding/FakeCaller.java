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

/** Keeps the calls, so that a test decides how each ends. */
final class FakeCaller implements HttpCaller {
    private final List<Sent> calls = new ArrayList<>();

    @Override
    public CallHandle call(
            SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        Sent sent = new Sent(request, listener);
        calls.add(sent);
        return () -> sent.cancelled = true;
    }

    int count() {
        return calls.size();
    }

    Sent call(int index) {
        return calls.get(index);
    }

    /** One call. */
    static final class Sent {
        private final RequestMessage request;
        private final Consumer<CallEnd> listener;
        private boolean cancelled;

        Sent(RequestMessage request, Consumer<CallEnd> listener) {
            this.request = request;
            this.listener = listener;
        }

        RequestMessage request() {
            return request;
        }

        String upstream() {
            return request.headers().first(FakeProtocol.EXPECTED).orElseThrow();
        }

        boolean isCancelled() {
            return cancelled;
        }

        void answer(int status) {
            ResponseMessage plain = ResponseMessage.text(status, "text/plain", "answer " + status);
            listener.accept(new CallEnd.Answered(
                    new ResponseMessage(status, plain.headers().with("signed", "1"), plain.body())));
        }

        void answerUnsigned(int status) {
            listener.accept(new CallEnd.Answered(ResponseMessage.text(status, "text/plain", "answer " + status)));
        }

        void refuse(int status) {
            listener.accept(new CallEnd.Answered(
                    new ResponseMessage(status, HeaderList.EMPTY.with("not-run", "1"), new byte[0])));
        }

        void breakOff() {
            listener.accept(new CallEnd.Broken("reset"));
        }

        void failToConnect() {
            listener.accept(new CallEnd.NotSent("refused"));
        }
    }
}
