package org.turmericspan.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Header;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

final class PeerFrameCodecTest {
    private static final String SEED = "20261204";
    private static final LeaseId LEASE = new LeaseId(new Incarnation(-1), 7);
    private static final ServiceId SERVICE = new ServiceId("ordering");
    private static final Payload BODY = Payload.wrap(new byte[] {0, 1, -1});

    private final PeerFrameCodec codec = new PeerFrameCodec();

    static List<PeerMessage> messages() {
        return Stream.of(stateMessages(), slotMessages(), callMessages())
                .flatMap(List::stream)
                .toList();
    }

    private static List<PeerMessage> stateMessages() {
        return List.of(
                new PeerMessage.Done(),
                new PeerMessage.Unreachable(true),
                new PeerMessage.Heartbeat(
                        new Incarnation(5),
                        3,
                        "00ff",
                        9,
                        Duration.ofMillis(4),
                        true,
                        List.of(new PeerMessage.IdleSlots(SERVICE, 2, 1))),
                new PeerMessage.FetchConfiguration(),
                new PeerMessage.ConfigurationDocument(Optional.of("{}")),
                new PeerMessage.ConfigurationDocument(Optional.empty()),
                new PeerMessage.FetchView(),
                new PeerMessage.ViewDocument(4, Optional.of("{}")));
    }

    private static List<PeerMessage> slotMessages() {
        return List.of(
                new PeerMessage.BorrowSlot(
                        new SlotRequest(
                                SERVICE,
                                new OfficeId("pressroom"),
                                new CallerId("mari"),
                                -5,
                                2,
                                true,
                                Set.of(new UpstreamId("u1")),
                                true),
                        11),
                new PeerMessage.CancelSlotRequest(11),
                new PeerMessage.SlotLent(
                        LEASE, new UpstreamId("u1"), new SocketAddress("127.0.0.1", 80), Duration.ofSeconds(1)),
                new PeerMessage.SlotDenied(ResultCode.NO_CAPACITY),
                new PeerMessage.ReturnSlot(
                        LEASE,
                        new SlotReturn(
                                SlotReturn.Outcome.TIMED_OUT,
                                Duration.ofNanos(3),
                                new UpstreamSignals(OptionalInt.of(2), true, true, Optional.of("a1")))),
                new PeerMessage.ReturnSlot(LEASE, SlotReturn.unused()),
                new PeerMessage.RecallSlot(LEASE),
                new PeerMessage.Handover(
                        new UpstreamId("u1"),
                        true,
                        4,
                        Optional.of("a1"),
                        List.of(new PeerMessage.RunningLease(LEASE, new VmId("entry-00"), Duration.ofMillis(1)))),
                new PeerMessage.QueryLeases(new Incarnation(-7), List.of()),
                new PeerMessage.QueryLeases(new Incarnation(7), List.of(new UpstreamId("u1"))),
                new PeerMessage.LeasesHeld(List.of(new UpstreamId("u1"))));
    }

    private static List<PeerMessage> callMessages() {
        return List.of(
                new PeerMessage.RelayCall(new CallRequest(
                        new RequestId("r1"),
                        new OfficeId("pressroom"),
                        new CallerId("mari"),
                        SERVICE,
                        "POST",
                        "/orders?a=b",
                        List.of(new Header("Accept", "text/plain")),
                        BODY,
                        99,
                        1,
                        true,
                        false,
                        Optional.of(RunToken.parse("5.0." + "ab".repeat(16) + ".mari")))),
                new PeerMessage.RelayResult(new CallResult.Answered(200, List.of(new Header("A", "b")), BODY)),
                new PeerMessage.RelayResult(
                        new CallResult.Refused(ResultCode.QUEUE_FULL, "full", Optional.of(Duration.ofSeconds(2)))),
                new PeerMessage.RelayResult(CallResult.Refused.of(ResultCode.STOPPING, "")),
                new PeerMessage.ShareSuspects(List.of(new PeerMessage.Suspect(
                        -3, List.of(new UpstreamId("ordering-001")), true, Duration.ofMinutes(1)))),
                new PeerMessage.BeginTrial(-4, Duration.ofSeconds(2)),
                new PeerMessage.TrialDecision(true),
                new PeerMessage.EndTrial(5));
    }

    static Stream<PeerFrame> controlFrames() {
        return Stream.of(
                new PeerFrame.Hello(new VmId("entry-00"), new Incarnation(1), BODY),
                new PeerFrame.Welcome(new VmId("entry-01"), new Incarnation(2), BODY, BODY),
                new PeerFrame.Proof(BODY),
                new PeerFrame.Tell(new PeerMessage.Done()),
                new PeerFrame.Ask(1, new PeerMessage.Done()),
                new PeerFrame.Ping(),
                new PeerFrame.Pong());
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodingAnEncodedMessageReturnsAnEqualMessage(PeerMessage message) {
        PeerFrame frame = new PeerFrame.Answer(Long.MAX_VALUE, message);

        assertThat(codec.decode(codec.encode(frame))).isEqualTo(frame);
    }

    @ParameterizedTest
    @MethodSource("controlFrames")
    void decodingAnEncodedFrameReturnsAnEqualFrame(PeerFrame frame) {
        assertThat(codec.decode(codec.encode(frame))).isEqualTo(frame);
    }

    @Test
    void everyMessageTypeIsTested() {
        Set<Class<?>> tested = messages().stream().map(Object::getClass).collect(Collectors.toSet());

        assertThat(tested).containsExactlyInAnyOrder(PeerMessage.class.getPermittedSubclasses());
    }

    @Test
    void frameWithoutKindIsRejected() {
        assertThatThrownBy(() -> codec.decode(new byte[0]))
                .isInstanceOfSatisfying(
                        BalancerException.class,
                        e -> assertThat(e.code()).isEqualTo(ResultCode.MALFORMED_PEER_MESSAGE));
    }

    @Property(seed = SEED)
    void arbitraryBytesAreDecodedOrRejectedWithTheCode(@ForAll byte[] bytes) {
        assertDecodedOrRejected(bytes);
    }

    @Property(seed = SEED)
    void corruptedFrameIsDecodedOrRejectedWithTheCode(
            @ForAll @IntRange(max = 22) int index, @ForAll int position, @ForAll byte corruptedByte) {
        byte[] bytes = codec.encode(new PeerFrame.Ask(1, messages().get(index)));
        Assume.that(bytes.length > 0);
        bytes[Math.floorMod(position, bytes.length)] = corruptedByte;
        assertDecodedOrRejected(bytes);
        assertDecodedOrRejected(Arrays.copyOf(bytes, Math.floorMod(position, bytes.length)));
    }

    private void assertDecodedOrRejected(byte[] bytes) {
        try {
            assertThat(codec.decode(bytes)).isNotNull();
        } catch (BalancerException e) {
            assertThat(e.code()).isEqualTo(ResultCode.MALFORMED_PEER_MESSAGE);
        }
    }
}
