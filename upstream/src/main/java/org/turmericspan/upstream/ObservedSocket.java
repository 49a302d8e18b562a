package org.turmericspan.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.net.Socket;

/** Socket that shows what was received on it, and fails at the first malformed line of a response head. */
final class ObservedSocket extends Socket {
    private volatile ReceivedBytes received = new ReceivedBytes();

    /**
     * Begins to observe the response to the next request.
     *
     * @return the bytes received from now on, up to the next call
     * @throws IOException if bytes that belong to no response would become part of this one; the socket is then closed
     */
    ReceivedBytes beginResponse() throws IOException {
        if (received.mayHaveFollowing() || getInputStream().available() > 0) {
            close();
            throw new IOException("Bytes were received that belong to no response");
        }
        received = new ReceivedBytes();
        return received;
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new ObservedStream(super.getInputStream());
    }

    private final class ObservedStream extends FilterInputStream {
        ObservedStream(InputStream input) {
            super(input);
        }

        @Override
        public int read() throws IOException {
            byte[] next = new byte[1];
            return read(next, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(next[0]);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = super.read(bytes, offset, length);
            if (count > 0) {
                received.add(bytes, offset, count);
                if (received.hasMalformedHead()) {
                    throw new ProtocolException("Malformed response head");
                }
            }
            return count;
        }
    }
}
