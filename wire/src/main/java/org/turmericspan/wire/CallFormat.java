package org.turmericspan.wire;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Header;
import org.turmericspan.calls.Payload;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.proto.PeerProto;
import org.turmericspan.wire.proto.PeerProto.Message;

/** Encoding of the messages that carry calls and their results. */
final class CallFormat {
    Message.Builder encode(Message.Builder builder, PeerMessage.RelayCall message) {
        CallRequest request = message.request();
        PeerProto.RelayCall.Builder call = builder.getRelayCallBuilder()
                .setRequestId(request.requestId().value())
                .setOffice(request.office().value())
                .setCaller(request.caller().value())
                .setService(request.service().value())
                .setMethod(request.method())
                .setPath(request.path())
                .addAllHeaders(encode(request.headers()))
                .setBody(ByteString.copyFrom(request.body().bytes()))
                .setRemainingNanos(request.deadlineNanos())
                .setDepth(request.depth())
                .setRetried(request.retried())
                .setIdempotent(request.idempotent());
        request.runToken().ifPresent(token -> call.setRunToken(token.toString()));
        return builder;
    }

    PeerMessage.RelayCall relayCall(Message message) {
        PeerProto.RelayCall call = message.getRelayCall();
        return new PeerMessage.RelayCall(new CallRequest(
                new RequestId(call.getRequestId()),
                new OfficeId(call.getOffice()),
                new CallerId(call.getCaller()),
                new ServiceId(call.getService()),
                call.getMethod(),
                call.getPath(),
                decode(call.getHeadersList()),
                Payload.wrap(call.getBody().toByteArray()),
                call.getRemainingNanos(),
                call.getDepth(),
                call.getRetried(),
                call.getIdempotent(),
                call.hasRunToken() ? Optional.of(RunToken.parse(call.getRunToken())) : Optional.empty()));
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.RelayResult message) {
        PeerProto.RelayResult.Builder result = builder.getRelayResultBuilder();
        if (message.result() instanceof CallResult.Answered answered) {
            result.getAnsweredBuilder()
                    .setStatus(answered.status())
                    .addAllHeaders(encode(answered.headers()))
                    .setBody(ByteString.copyFrom(answered.body().bytes()));
        } else if (message.result() instanceof CallResult.Refused refused) {
            PeerProto.Refused.Builder encoded =
                    result.getRefusedBuilder().setCode(refused.code().number()).setDetail(refused.detail());
            refused.retryAfter().ifPresent(retryAfter -> encoded.setRetryAfterNanos(retryAfter.toNanos()));
        }
        return builder;
    }

    PeerMessage.RelayResult relayResult(Message message) {
        PeerProto.RelayResult result = message.getRelayResult();
        return new PeerMessage.RelayResult(
                switch (result.getResultCase()) {
                    case ANSWERED ->
                        new CallResult.Answered(
                                result.getAnswered().getStatus(),
                                decode(result.getAnswered().getHeadersList()),
                                Payload.wrap(result.getAnswered().getBody().toByteArray()));
                    case REFUSED ->
                        new CallResult.Refused(
                                code(result.getRefused().getCode()),
                                result.getRefused().getDetail(),
                                result.getRefused().hasRetryAfterNanos()
                                        ? Optional.of(Duration.ofNanos(
                                                result.getRefused().getRetryAfterNanos()))
                                        : Optional.empty());
                    case RESULT_NOT_SET -> throw new IllegalArgumentException("The message has no result");
                });
    }

    static ResultCode code(int number) {
        return ResultCode.ofNumber(number)
                .orElseThrow(() -> new IllegalArgumentException("No result code has the number " + number));
    }

    private static List<PeerProto.Header> encode(List<Header> headers) {
        return headers.stream()
                .map(header -> PeerProto.Header.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
    }

    private static List<Header> decode(List<PeerProto.Header> headers) {
        return headers.stream()
                .map(header -> new Header(header.getName(), header.getValue()))
                .toList();
    }
}
