package org.turmericspan.wire;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.proto.PeerProto;
import org.turmericspan.wire.proto.PeerProto.Message;

/**
 * Encoding of the messages about slots and leases. On the wire a slot request is called a wish, its cancellation a
 * withdrawal, its excluded upstreams {@code avoid}, its sender the asker, and the owner of a lease the keeper.
 */
final class SlotFormat {
    Message.Builder encode(Message.Builder builder, PeerMessage.BorrowSlot message) {
        SlotRequest request = message.request();
        PeerProto.SlotWish.Builder encoded = PeerProto.SlotWish.newBuilder()
                .setService(request.service().value())
                .setOffice(request.office().value())
                .setCaller(request.caller().value())
                .setRemainingNanos(request.deadlineNanos())
                .setDepth(request.depth())
                .setIdempotent(request.idempotent())
                .setIdleOnly(request.idleOnly());
        request.excludedUpstreams().forEach(upstream -> encoded.addAvoid(upstream.value()));
        builder.getBorrowSlotBuilder().setWish(encoded).setWishNumber(message.requestNumber());
        return builder;
    }

    PeerMessage.BorrowSlot borrowSlot(Message message) {
        PeerProto.SlotWish request = message.getBorrowSlot().getWish();
        return new PeerMessage.BorrowSlot(
                new SlotRequest(
                        new ServiceId(request.getService()),
                        new OfficeId(request.getOffice()),
                        new CallerId(request.getCaller()),
                        request.getRemainingNanos(),
                        request.getDepth(),
                        request.getIdempotent(),
                        request.getAvoidList().stream().map(UpstreamId::new).collect(Collectors.toSet()),
                        request.getIdleOnly()),
                message.getBorrowSlot().getWishNumber());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.CancelSlotRequest message) {
        builder.getWithdrawWishBuilder().setWishNumber(message.requestNumber());
        return builder;
    }

    PeerMessage.CancelSlotRequest cancelSlotRequest(Message message) {
        return new PeerMessage.CancelSlotRequest(message.getWithdrawWish().getWishNumber());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.SlotLent message) {
        builder.getSlotLentBuilder()
                .setLease(encode(message.lease()))
                .setUpstream(message.upstream().value())
                .setAddress(message.address().toString())
                .setRemainingNanos(message.remaining().toNanos());
        return builder;
    }

    PeerMessage.SlotLent slotLent(Message message) {
        PeerProto.SlotLent lent = message.getSlotLent();
        return new PeerMessage.SlotLent(
                decode(lent.getLease()),
                new UpstreamId(lent.getUpstream()),
                SocketAddress.parse(lent.getAddress()),
                Duration.ofNanos(lent.getRemainingNanos()));
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.SlotDenied message) {
        builder.getSlotDeniedBuilder().setCode(message.code().number());
        return builder;
    }

    PeerMessage.SlotDenied slotDenied(Message message) {
        return new PeerMessage.SlotDenied(
                CallFormat.code(message.getSlotDenied().getCode()));
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.ReturnSlot message) {
        builder.getReturnSlotBuilder().setLease(encode(message.lease())).setSlotReturn(encode(message.slotReturn()));
        return builder;
    }

    PeerMessage.ReturnSlot returnSlot(Message message) {
        PeerProto.ReturnSlot returned = message.getReturnSlot();
        return new PeerMessage.ReturnSlot(decode(returned.getLease()), decode(returned.getSlotReturn()));
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.RecallSlot message) {
        builder.getRecallSlotBuilder().setLease(encode(message.lease()));
        return builder;
    }

    PeerMessage.RecallSlot recallSlot(Message message) {
        return new PeerMessage.RecallSlot(decode(message.getRecallSlot().getLease()));
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.Handover message) {
        PeerProto.Handover.Builder handover = builder.getHandoverBuilder()
                .setUpstream(message.upstream().value())
                .setWarm(message.warm())
                .setAllowance(message.allowance());
        message.upstreamIncarnation().ifPresent(handover::setUpstreamIncarnation);
        message.leases()
                .forEach(running -> handover.addLeasesBuilder()
                        .setLease(encode(running.lease()))
                        .setHolder(running.holder().value())
                        .setRemainingNanos(running.remaining().toNanos()));
        return builder;
    }

    PeerMessage.Handover handover(Message message) {
        PeerProto.Handover handover = message.getHandover();
        List<PeerMessage.RunningLease> leases = handover.getLeasesList().stream()
                .map(running -> new PeerMessage.RunningLease(
                        decode(running.getLease()),
                        new VmId(running.getHolder()),
                        Duration.ofNanos(running.getRemainingNanos())))
                .toList();
        return new PeerMessage.Handover(
                new UpstreamId(handover.getUpstream()),
                handover.getWarm(),
                handover.getAllowance(),
                handover.hasUpstreamIncarnation() ? Optional.of(handover.getUpstreamIncarnation()) : Optional.empty(),
                leases);
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.QueryLeases message) {
        PeerProto.QueryLeases.Builder query = builder.getQueryLeasesBuilder();
        query.setAsker(message.requesterIncarnation().value());
        message.upstreams().forEach(upstream -> query.addUpstreams(upstream.value()));
        return builder;
    }

    PeerMessage.QueryLeases queryLeases(Message message) {
        PeerProto.QueryLeases query = message.getQueryLeases();
        return new PeerMessage.QueryLeases(
                new Incarnation(query.getAsker()),
                query.getUpstreamsList().stream().map(UpstreamId::new).toList());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.LeasesHeld message) {
        PeerProto.LeasesHeld.Builder held = builder.getLeasesHeldBuilder();
        message.held().forEach(upstream -> held.addHeld(upstream.value()));
        return builder;
    }

    PeerMessage.LeasesHeld leasesHeld(Message message) {
        return new PeerMessage.LeasesHeld(message.getLeasesHeld().getHeldList().stream()
                .map(UpstreamId::new)
                .toList());
    }

    private static PeerProto.LeaseId encode(LeaseId lease) {
        return PeerProto.LeaseId.newBuilder()
                .setKeeper(lease.keeper().value())
                .setSequence(lease.sequence())
                .build();
    }

    private static LeaseId decode(PeerProto.LeaseId lease) {
        return new LeaseId(new Incarnation(lease.getKeeper()), lease.getSequence());
    }

    private static PeerProto.SlotReturn encode(SlotReturn slotReturn) {
        UpstreamSignals signals = slotReturn.signals();
        PeerProto.SlotReturn.Builder builder = PeerProto.SlotReturn.newBuilder()
                .setOutcome(PeerProto.SlotReturn.Outcome.valueOf(
                        slotReturn.outcome().name()))
                .setElapsedNanos(slotReturn.elapsed().toNanos())
                .setCold(signals.cold())
                .setLeaving(signals.leaving());
        signals.running().ifPresent(builder::setRunning);
        signals.incarnation().ifPresent(builder::setIncarnation);
        return builder.build();
    }

    private static SlotReturn decode(PeerProto.SlotReturn slotReturn) {
        return new SlotReturn(
                SlotReturn.Outcome.valueOf(slotReturn.getOutcome().name()),
                Duration.ofNanos(slotReturn.getElapsedNanos()),
                new UpstreamSignals(
                        slotReturn.hasRunning() ? OptionalInt.of(slotReturn.getRunning()) : OptionalInt.empty(),
                        slotReturn.getCold(),
                        slotReturn.getLeaving(),
                        slotReturn.hasIncarnation() ? Optional.of(slotReturn.getIncarnation()) : Optional.empty()));
    }
}
