package org.turmericspan.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.wire.PeerFrame;
import org.turmericspan.wire.PeerFrameCodec;

/** Encodes and decodes frames, each preceded by its length, and limits their size. */
final class FrameCodecHandler extends MessageToMessageCodec<ByteBuf, PeerFrame> {
    /** Maximum size of a frame until the other end is authenticated. */
    static final int HANDSHAKE_FRAME_LIMIT_BYTES = 512;

    /** Maximum size of a frame afterwards: the largest body with its header fields. */
    static final int FRAME_LIMIT_BYTES = 17 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final String FRAME_DECODER = "frame-decoder";

    private final PeerFrameCodec codec = new PeerFrameCodec();
    private final PeerTraffic traffic;

    private FrameCodecHandler(PeerTraffic traffic) {
        super(ByteBuf.class, PeerFrame.class);
        this.traffic = traffic;
    }

    static void install(ChannelPipeline pipeline, PeerTraffic traffic) {
        pipeline.addLast(FRAME_DECODER, frameDecoder(HANDSHAKE_FRAME_LIMIT_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new FrameCodecHandler(traffic));
    }

    /** Raises the frame limit to its full size once the other end is authenticated. */
    static void raiseFrameLimit(ChannelPipeline pipeline) {
        pipeline.replace(FRAME_DECODER, FRAME_DECODER, frameDecoder(FRAME_LIMIT_BYTES));
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int limitBytes) {
        return new LengthFieldBasedFrameDecoder(limitBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) {
        byte[] bytes = codec.encode(frame);
        if (bytes.length > FRAME_LIMIT_BYTES) {
            throw new BalancerException(
                    ResultCode.TOO_LARGE, bytes.length + " bytes in one frame, more than the limit");
        }
        traffic.sent(bytes.length + LENGTH_BYTES);
        out.add(context.alloc().buffer(bytes.length).writeBytes(bytes));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) {
        traffic.received(bytes.readableBytes() + LENGTH_BYTES);
        out.add(codec.decode(ByteBufUtil.getBytes(bytes)));
    }
}
