package org.turmericspan.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** Socket that shows what was received on it. */
final class ObservedSocket extends Socket {
    private final ReceivedBytes received = new ReceivedBytes();

    ReceivedBytes received() {
        return received;
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new ObservedStream(super.getInputStream(), received);
    }

    private static final class ObservedStream extends FilterInputStream {
        private final ReceivedBytes received;

        ObservedStream(InputStream input, ReceivedBytes received) {
            super(input);
            this.received = received;
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
            }
            return count;
        }
    }
}
