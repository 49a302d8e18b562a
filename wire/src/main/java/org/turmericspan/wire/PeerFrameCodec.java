package org.turmericspan.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.turmericspan.calls.Payload;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.wire.proto.PeerProto;

/** Encodes and decodes frames. */
public final class PeerFrameCodec {
    private final PeerMessageFormat messages = new PeerMessageFormat();

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return bytes of the frame, without a length prefix
     */
    public byte[] encode(PeerFrame frame) {
        PeerProto.Frame.Builder builder = PeerProto.Frame.newBuilder();
        if (frame instanceof PeerFrame.Tell tell) {
            builder.getTellBuilder().setMessage(messages.encode(tell.message()));
        } else if (frame instanceof PeerFrame.Ask ask) {
            builder.getAskBuilder().setCorrelation(ask.correlation()).setMessage(messages.encode(ask.message()));
        } else if (frame instanceof PeerFrame.Answer answer) {
            builder.getAnswerBuilder()
                    .setCorrelation(answer.correlation())
                    .setMessage(messages.encode(answer.message()));
        } else {
            encodeControl(builder, frame);
        }
        return builder.build().toByteArray();
    }

    /**
     * Decodes a frame.
     *
     * @param bytes output of {@link #encode}, or arbitrary bytes
     * @return the frame
     * @throws BalancerException with {@link ResultCode#MALFORMED_PEER_MESSAGE} when the bytes are not a complete frame
     */
    public PeerFrame decode(byte[] bytes) {
        try {
            return decode(PeerProto.Frame.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BalancerException(ResultCode.MALFORMED_PEER_MESSAGE, String.valueOf(e.getMessage()), e);
        }
    }

    private static void encodeControl(PeerProto.Frame.Builder builder, PeerFrame frame) {
        if (frame instanceof PeerFrame.Hello hello) {
            builder.getHelloBuilder()
                    .setVm(hello.vm().value())
                    .setIncarnation(hello.incarnation().value())
                    .setNonce(bytes(hello.nonce()));
        } else if (frame instanceof PeerFrame.Welcome welcome) {
            builder.getWelcomeBuilder()
                    .setVm(welcome.vm().value())
                    .setIncarnation(welcome.incarnation().value())
                    .setNonce(bytes(welcome.nonce()))
                    .setMac(bytes(welcome.mac()));
        } else if (frame instanceof PeerFrame.Proof proof) {
            builder.getProofBuilder().setMac(bytes(proof.mac()));
        } else if (frame instanceof PeerFrame.Ping) {
            builder.setPing(PeerProto.Ping.getDefaultInstance());
        } else {
            builder.setPong(PeerProto.Pong.getDefaultInstance());
        }
    }

    private PeerFrame decode(PeerProto.Frame frame) {
        return switch (frame.getKindCase()) {
            case HELLO ->
                new PeerFrame.Hello(
                        new VmId(frame.getHello().getVm()),
                        new Incarnation(frame.getHello().getIncarnation()),
                        payload(frame.getHello().getNonce()));
            case WELCOME ->
                new PeerFrame.Welcome(
                        new VmId(frame.getWelcome().getVm()),
                        new Incarnation(frame.getWelcome().getIncarnation()),
                        payload(frame.getWelcome().getNonce()),
                        payload(frame.getWelcome().getMac()));
            case PROOF -> new PeerFrame.Proof(payload(frame.getProof().getMac()));
            case TELL -> new PeerFrame.Tell(messages.decode(frame.getTell().getMessage()));
            case ASK ->
                new PeerFrame.Ask(
                        frame.getAsk().getCorrelation(),
                        messages.decode(frame.getAsk().getMessage()));
            case ANSWER ->
                new PeerFrame.Answer(
                        frame.getAnswer().getCorrelation(),
                        messages.decode(frame.getAnswer().getMessage()));
            case PING -> new PeerFrame.Ping();
            case PONG -> new PeerFrame.Pong();
            case KIND_NOT_SET -> throw new IllegalArgumentException("The frame has no kind");
        };
    }

    private static ByteString bytes(Payload payload) {
        return ByteString.copyFrom(payload.bytes());
    }

    private static Payload payload(ByteString bytes) {
        return Payload.wrap(bytes.toByteArray());
    }
}
