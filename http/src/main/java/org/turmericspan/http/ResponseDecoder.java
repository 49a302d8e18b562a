package org.turmericspan.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.function.BooleanSupplier;
import org.turmericspan.integrity.HeadSyntax;

/**
 * Decodes the responses on one connection, and shows whether bytes follow the last decoded message. Stricter than the
 * library, which accepts any number as a status, and ends a field name at its first blank.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS = 1;

    private final BooleanSupplier isHeadRequest;

    /**
     * Creates a decoder.
     *
     * @param config size limits of a response
     * @param isHeadRequest returns whether the request in progress is a HEAD request, whose response has no body
     */
    ResponseDecoder(HttpDecoderConfig config, BooleanSupplier isHeadRequest) {
        super(config);
        this.isHeadRequest = isHeadRequest;
    }

    /** Returns whether bytes were received that belong to no decoded message. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns a copy of the bytes that were received and belong to no decoded message, up to a limit. */
    byte[] undecodedBytes(int maxBytes) {
        return firstBytes(internalBuffer(), maxBytes);
    }

    /** Returns a copy of the first bytes of a buffer, up to a limit, and consumes none. */
    static byte[] firstBytes(ByteBuf buffer, int maxBytes) {
        byte[] bytes = new byte[Math.min(buffer.readableBytes(), maxBytes)];
        buffer.getBytes(buffer.readerIndex(), bytes);
        return bytes;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!HeadSyntax.isStatus(statusLine[STATUS])) {
            throw new IllegalArgumentException("status line without a valid status code");
        }
        return super.createMessage(statusLine);
    }

    /** Reads the name of a header or trailer field, which is all that stands before the colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        AsciiString name = super.splitHeaderName(line, start, length);
        int end = start + length;
        boolean isBeforeColon = end < line.length && line[end] == ':';
        if (!isBeforeColon || !HeadSyntax.isFieldName(name)) {
            throw new IllegalArgumentException("malformed field name");
        }
        return name;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(message);
    }
}
