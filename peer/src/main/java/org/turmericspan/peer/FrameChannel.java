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

/** Turns bytes into frames and back, with a length before each frame and a limit on it. */
final class FrameChannel extends MessageToMessageCodec<ByteBuf, PeerFrame> {
    /** Largest frame before both ends have proved that they hold the key. */
    static final int HANDSHAKE_LIMIT_BYTES = 512;

    /** Largest frame afterwards: the largest body with its header fields. */
    static final int FRAME_LIMIT_BYTES = 17 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final String SPLITTER = "splitter";

    private final PeerFrameCodec codec = new PeerFrameCodec();
    private final PeerTraffic traffic;

    private FrameChannel(PeerTraffic traffic) {
        super(ByteBuf.class, PeerFrame.class);
        this.traffic = traffic;
    }

    static void install(ChannelPipeline pipeline, PeerTraffic traffic) {
        pipeline.addLast(SPLITTER, splitter(HANDSHAKE_LIMIT_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new FrameChannel(traffic));
    }

    /** Admits frames of full size once the other end has proved that it holds the key. */
    static void admitLargeFrames(ChannelPipeline pipeline) {
        pipeline.replace(SPLITTER, SPLITTER, splitter(FRAME_LIMIT_BYTES));
    }

    private static LengthFieldBasedFrameDecoder splitter(int limitBytes) {
        return new LengthFieldBasedFrameDecoder(limitBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) {
        byte[] bytes = codec.encode(frame);
        if (bytes.length > FRAME_LIMIT_BYTES) {
            throw new BalancerException(ResultCode.TOO_LARGE, bytes.length + " bytes in one frame");
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
