package org.turmericspan.wire;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.proto.PeerProto.Message;
import org.turmericspan.wire.proto.PeerProto.Message.BodyCase;

/** Encoders and decoders of all messages. Every new message type must be added here. */
final class PeerMessageFormat {
    private final Map<Class<? extends PeerMessage>, Function<PeerMessage, Message>> encoders = new HashMap<>();
    private final Map<BodyCase, Function<Message, PeerMessage>> decoders = new EnumMap<>(BodyCase.class);

    PeerMessageFormat() {
        addState();
        addSlots();
        addCalls();
    }

    Message encode(PeerMessage message) {
        Function<PeerMessage, Message> encoder = encoders.get(message.getClass());
        if (encoder == null) {
            throw new IllegalArgumentException(message.getClass().getSimpleName() + " has no encoder");
        }
        return encoder.apply(message);
    }

    PeerMessage decode(Message message) {
        Function<Message, PeerMessage> decoder = decoders.get(message.getBodyCase());
        if (decoder == null) {
            throw new IllegalArgumentException("The message has no body");
        }
        return decoder.apply(message);
    }

    private void addState() {
        StateFormat state = new StateFormat();
        add(PeerMessage.Done.class, BodyCase.DONE, state::encode, state::done);
        add(PeerMessage.Unreachable.class, BodyCase.UNREACHABLE, state::encode, state::unreachable);
        add(PeerMessage.Heartbeat.class, BodyCase.HEARTBEAT, state::encode, state::heartbeat);
        add(
                PeerMessage.FetchConfiguration.class,
                BodyCase.FETCH_CONFIGURATION,
                state::encode,
                state::fetchConfiguration);
        add(
                PeerMessage.ConfigurationDocument.class,
                BodyCase.CONFIGURATION_DOCUMENT,
                state::encode,
                state::configurationDocument);
        add(PeerMessage.FetchView.class, BodyCase.FETCH_VIEW, state::encode, state::fetchView);
        add(PeerMessage.ViewDocument.class, BodyCase.VIEW_DOCUMENT, state::encode, state::viewDocument);
    }

    private void addSlots() {
        SlotFormat slots = new SlotFormat();
        add(PeerMessage.BorrowSlot.class, BodyCase.BORROW_SLOT, slots::encode, slots::borrowSlot);
        add(PeerMessage.CancelSlotRequest.class, BodyCase.WITHDRAW_WISH, slots::encode, slots::cancelSlotRequest);
        add(PeerMessage.SlotLent.class, BodyCase.SLOT_LENT, slots::encode, slots::slotLent);
        add(PeerMessage.SlotDenied.class, BodyCase.SLOT_DENIED, slots::encode, slots::slotDenied);
        add(PeerMessage.ReturnSlot.class, BodyCase.RETURN_SLOT, slots::encode, slots::returnSlot);
        add(PeerMessage.RecallSlot.class, BodyCase.RECALL_SLOT, slots::encode, slots::recallSlot);
        add(PeerMessage.Handover.class, BodyCase.HANDOVER, slots::encode, slots::handover);
        add(PeerMessage.QueryLeases.class, BodyCase.QUERY_LEASES, slots::encode, slots::queryLeases);
        add(PeerMessage.LeasesHeld.class, BodyCase.LEASES_HELD, slots::encode, slots::leasesHeld);
    }

    private void addCalls() {
        CallFormat calls = new CallFormat();
        add(PeerMessage.RelayCall.class, BodyCase.RELAY_CALL, calls::encode, calls::relayCall);
        add(PeerMessage.RelayResult.class, BodyCase.RELAY_RESULT, calls::encode, calls::relayResult);
        SuspectFormat suspects = new SuspectFormat();
        add(PeerMessage.ShareSuspects.class, BodyCase.SHARE_SUSPECTS, suspects::encode, suspects::shareSuspects);
        add(PeerMessage.BeginTrial.class, BodyCase.BEGIN_TRIAL, suspects::encode, suspects::beginTrial);
        add(PeerMessage.TrialDecision.class, BodyCase.TRIAL_DECISION, suspects::encode, suspects::trialDecision);
        add(PeerMessage.EndTrial.class, BodyCase.END_TRIAL, suspects::encode, suspects::endTrial);
    }

    private <M extends PeerMessage> void add(
            Class<M> type,
            BodyCase body,
            BiFunction<Message.Builder, M, Message.Builder> encoder,
            Function<Message, M> decoder) {
        encoders.put(
                type,
                message ->
                        encoder.apply(Message.newBuilder(), type.cast(message)).build());
        decoders.put(body, decoder::apply);
    }
}
