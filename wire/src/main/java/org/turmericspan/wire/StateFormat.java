package org.turmericspan.wire;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.proto.PeerProto;
import org.turmericspan.wire.proto.PeerProto.Message;

/** Encoding of the messages about the state of a node and about published documents. */
final class StateFormat {
    private static final HexFormat HEX = HexFormat.of();

    Message.Builder encode(Message.Builder builder, PeerMessage.Done message) {
        return builder.setDone(PeerProto.Done.getDefaultInstance());
    }

    PeerMessage.Done done(Message message) {
        return new PeerMessage.Done();
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.Unreachable message) {
        builder.getUnreachableBuilder().setSent(message.sent());
        return builder;
    }

    PeerMessage.Unreachable unreachable(Message message) {
        return new PeerMessage.Unreachable(message.getUnreachable().getSent());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.Heartbeat message) {
        PeerProto.Heartbeat.Builder heartbeat = builder.getHeartbeatBuilder()
                .setIncarnation(message.incarnation().value())
                .setConfigurationNumber(message.configurationNumber())
                .setConfigurationDigest(ByteString.copyFrom(HEX.parseHex(message.configurationDigest())))
                .setViewRevision(message.viewRevision())
                .setViewAgeNanos(message.viewAge().toNanos())
                .setLeaving(message.leaving());
        message.idleSlots()
                .forEach(slots -> heartbeat
                        .addIdleSlotsBuilder()
                        .setService(slots.service().value())
                        .setIdle(slots.idle())
                        .setWaiting(slots.waiting()));
        return builder;
    }

    PeerMessage.Heartbeat heartbeat(Message message) {
        PeerProto.Heartbeat heartbeat = message.getHeartbeat();
        return new PeerMessage.Heartbeat(
                new Incarnation(heartbeat.getIncarnation()),
                heartbeat.getConfigurationNumber(),
                HEX.formatHex(heartbeat.getConfigurationDigest().toByteArray()),
                heartbeat.getViewRevision(),
                Duration.ofNanos(heartbeat.getViewAgeNanos()),
                heartbeat.getLeaving(),
                heartbeat.getIdleSlotsList().stream()
                        .map(slots -> new PeerMessage.IdleSlots(
                                new ServiceId(slots.getService()), slots.getIdle(), slots.getWaiting()))
                        .toList());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.FetchConfiguration message) {
        return builder.setFetchConfiguration(PeerProto.FetchConfiguration.getDefaultInstance());
    }

    PeerMessage.FetchConfiguration fetchConfiguration(Message message) {
        return new PeerMessage.FetchConfiguration();
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.ConfigurationDocument message) {
        PeerProto.ConfigurationDocument.Builder document = builder.getConfigurationDocumentBuilder();
        message.document().ifPresent(document::setDocument);
        return builder;
    }

    PeerMessage.ConfigurationDocument configurationDocument(Message message) {
        PeerProto.ConfigurationDocument document = message.getConfigurationDocument();
        return new PeerMessage.ConfigurationDocument(
                document.hasDocument() ? Optional.of(document.getDocument()) : Optional.empty());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.FetchView message) {
        return builder.setFetchView(PeerProto.FetchView.getDefaultInstance());
    }

    PeerMessage.FetchView fetchView(Message message) {
        return new PeerMessage.FetchView();
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.ViewDocument message) {
        PeerProto.ViewDocument.Builder view = builder.getViewDocumentBuilder().setRevision(message.revision());
        message.text().ifPresent(view::setText);
        return builder;
    }

    PeerMessage.ViewDocument viewDocument(Message message) {
        PeerProto.ViewDocument view = message.getViewDocument();
        return new PeerMessage.ViewDocument(
                view.getRevision(), view.hasText() ? Optional.of(view.getText()) : Optional.empty());
    }
}
