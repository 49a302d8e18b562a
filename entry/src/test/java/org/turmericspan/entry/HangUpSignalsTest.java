package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangUpSignalsTest {
    /** Guards against a SIGHUP that terminates a process while it starts, or that has no effect then. */
    @Test
    void signalDuringTheStartRunsTheActionOnceItIsSet() throws Exception {
        HangUpSignals signals = HangUpSignals.register();
        NodeProcess.signal(ProcessHandle.current().pid(), "HUP");
        TimeUnit.MILLISECONDS.sleep(300);

        Semaphore runs = new Semaphore(0);
        signals.handleWith(runs::release);
        assertThat(runs.tryAcquire(20, TimeUnit.SECONDS)).isTrue();

        NodeProcess.signal(ProcessHandle.current().pid(), "HUP");
        assertThat(runs.tryAcquire(20, TimeUnit.SECONDS)).isTrue();
    }
}
