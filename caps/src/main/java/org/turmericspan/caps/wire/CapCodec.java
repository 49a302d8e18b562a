package org.turmericspan.caps.wire;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.turmericspan.caps.CapAnswer;
import org.turmericspan.caps.CapAsk;
import org.turmericspan.caps.CapDatagram;
import org.turmericspan.caps.CapMessage;

/** Encodes and decodes cap messages with the primitives of protobuf. */
final class CapCodec {
    private static final int FORMAT_VERSION = 1;
    private static final int KIND_ASK = 1;
    private static final int KIND_ANSWER = 2;
    /** Most nodes in a message. */
    private static final int MAX_FLEET_SIZE = 100_000;
    /** Most permits in a message. */
    private static final int MAX_PERMITS = 4_096;
    /** Longest time in a message. */
    private static final long MAX_MILLIS = 600_000;

    private static final CapAnswer.Verdict[] VERDICTS = CapAnswer.Verdict.values();

    private CapCodec() {}

    static byte[] encode(CapDatagram datagram) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        try {
            output.writeUInt32NoTag(FORMAT_VERSION);
            output.writeUInt32NoTag(2 * datagram.fleetSize() + (datagram.isStartOfAll() ? 1 : 0));
            if (datagram.message() instanceof CapAsk ask) {
                writeAsk(ask, output);
            } else if (datagram.message() instanceof CapAnswer answer) {
                writeAnswer(answer, output);
            }
            output.flush();
        } catch (IOException e) {
            throw new IllegalStateException("Writing to a byte array failed", e);
        }
        return bytes.toByteArray();
    }

    private static void writeAsk(CapAsk ask, CodedOutputStream output) throws IOException {
        output.writeUInt32NoTag(KIND_ASK);
        output.writeFixed64NoTag(ask.tenantHash());
        output.writeFixed64NoTag(ask.asker());
        output.writeUInt64NoTag(ask.number());
        output.writeUInt32NoTag(ask.waiting());
        output.writeUInt32NoTag(ask.ahead());
        output.writeUInt32NoTag(ask.returned());
    }

    private static void writeAnswer(CapAnswer answer, CodedOutputStream output) throws IOException {
        output.writeUInt32NoTag(KIND_ANSWER);
        output.writeFixed64NoTag(answer.tenantHash());
        output.writeUInt64NoTag(answer.number());
        output.writeUInt32NoTag(answer.verdict().ordinal());
        output.writeUInt32NoTag(answer.granted());
        output.writeUInt32NoTag(answer.ahead());
        output.writeUInt32NoTag(Math.min(MAX_PERMITS, answer.left()));
        output.writeUInt64NoTag(answer.emptyMillis());
        output.writeUInt64NoTag(answer.retryMillis());
    }

    /** Decodes a message. Malformed bytes cause an {@link IOException}. */
    static CapDatagram decode(byte[] bytes) throws IOException {
        CodedInputStream input = CodedInputStream.newInstance(bytes);
        if (input.readUInt32() != FORMAT_VERSION) {
            throw new IOException("unknown format version");
        }
        int sizeAndStart = input.readUInt32();
        int fleetSize = sizeAndStart >> 1;
        if (fleetSize < 0 || fleetSize > MAX_FLEET_SIZE) {
            throw new IOException("size of the fleet out of range");
        }
        int kind = input.readUInt32();
        CapMessage message;
        if (kind == KIND_ASK) {
            message = new CapAsk(
                    input.readFixed64(),
                    input.readFixed64(),
                    input.readUInt64(),
                    readPermits(input),
                    readPermits(input),
                    readPermits(input));
        } else if (kind == KIND_ANSWER) {
            message = new CapAnswer(
                    input.readFixed64(),
                    input.readUInt64(),
                    readVerdict(input),
                    readPermits(input),
                    readPermits(input),
                    readPermits(input),
                    readMillis(input),
                    readMillis(input));
        } else {
            throw new IOException("unknown kind of message");
        }
        if (!input.isAtEnd()) {
            throw new IOException("bytes after the message");
        }
        return new CapDatagram(fleetSize, (sizeAndStart & 1) != 0, message);
    }

    private static CapAnswer.Verdict readVerdict(CodedInputStream input) throws IOException {
        int index = input.readUInt32();
        if (index < 0 || index >= VERDICTS.length) {
            throw new IOException("unknown verdict");
        }
        return VERDICTS[index];
    }

    private static int readPermits(CodedInputStream input) throws IOException {
        int permits = input.readUInt32();
        if (permits < 0 || permits > MAX_PERMITS) {
            throw new IOException("too many permits");
        }
        return permits;
    }

    private static long readMillis(CodedInputStream input) throws IOException {
        long millis = input.readUInt64();
        if (millis < 0 || millis > MAX_MILLIS) {
            throw new IOException("time out of range");
        }
        return millis;
    }
}
