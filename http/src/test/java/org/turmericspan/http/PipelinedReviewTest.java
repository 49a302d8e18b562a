package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Load: callers that announce their last request and leave. */
class PipelinedReviewTest extends PipelinedFixture {
    /** Guards against work that goes on for a caller that has left, for as long as an upstream takes. */
    @Test
    void callerThatAnnouncedItsLastRequestAndLeftIsNoticedWithoutAResponse() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2") + lastGet("/safe/3"));
            awaitStarted("/safe/1", "/safe/2", "/safe/3");
        }
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(service().cancelled()).hasSize(3);
    }

    /** Guards against a reset of the connection that is not noticed until the next response is written. */
    @Test
    void resetThatTheFirstResponseMeetsCancelsTheOthers() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2") + lastGet("/safe/3"));
            awaitStarted("/safe/1", "/safe/2", "/safe/3");
        }
        service().respond("/safe/1");
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(service().cancelled()).containsExactlyInAnyOrder("/safe/2", "/safe/3");
    }
}
