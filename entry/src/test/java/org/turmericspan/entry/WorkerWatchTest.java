package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.Event;

class WorkerWatchTest {
    /** Fails as a worker does that runs out of memory outside all handlers. */
    private static final class FailingIo implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            throw new OutOfMemoryError("no memory for the selector");
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return true;
        }
    }

    /** Guards against a process that goes on without workers and so hangs for good. */
    @Test
    void errorThatEndsAWorkerIsLoggedAndRunsTheAction() throws Exception {
        EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, executor -> new FailingIo());
        List<Event> events = new CopyOnWriteArrayList<>();
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        WorkerWatch.start(workers, events::add, () -> ended.complete(true));

        workers.execute(() -> {});

        assertThat(ended.get(20, TimeUnit.SECONDS)).isTrue();
        assertThat(events).hasSize(1);
    }
}
