package org.turmericspan.wire;

import java.time.Duration;
import java.util.List;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.proto.PeerProto;
import org.turmericspan.wire.proto.PeerProto.Message;

/**
 * Encoding of the messages about requests suspected of crashing upstreams. On the wire the crashed upstreams are called
 * {@code lost}, and a crash in isolation is called {@code died_alone}.
 */
final class SuspectFormat {
    Message.Builder encode(Message.Builder builder, PeerMessage.ShareSuspects message) {
        PeerProto.ShareSuspects.Builder share = builder.getShareSuspectsBuilder();
        message.suspects().forEach(suspect -> share.addSuspects(encode(suspect)));
        return builder;
    }

    PeerMessage.ShareSuspects shareSuspects(Message message) {
        return new PeerMessage.ShareSuspects(message.getShareSuspects().getSuspectsList().stream()
                .map(SuspectFormat::decode)
                .toList());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.BeginTrial message) {
        builder.getBeginTrialBuilder()
                .setFingerprint(message.fingerprint())
                .setLongestNanos(message.longest().toNanos());
        return builder;
    }

    PeerMessage.BeginTrial beginTrial(Message message) {
        PeerProto.BeginTrial begin = message.getBeginTrial();
        return new PeerMessage.BeginTrial(begin.getFingerprint(), Duration.ofNanos(begin.getLongestNanos()));
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.TrialDecision message) {
        builder.getTrialDecisionBuilder().setGranted(message.granted());
        return builder;
    }

    PeerMessage.TrialDecision trialDecision(Message message) {
        return new PeerMessage.TrialDecision(message.getTrialDecision().getGranted());
    }

    Message.Builder encode(Message.Builder builder, PeerMessage.EndTrial message) {
        builder.getEndTrialBuilder().setFingerprint(message.fingerprint());
        return builder;
    }

    PeerMessage.EndTrial endTrial(Message message) {
        return new PeerMessage.EndTrial(message.getEndTrial().getFingerprint());
    }

    private static PeerProto.Suspect encode(PeerMessage.Suspect suspect) {
        return PeerProto.Suspect.newBuilder()
                .setFingerprint(suspect.fingerprint())
                .addAllLost(suspect.crashedUpstreams().stream()
                        .map(UpstreamId::value)
                        .toList())
                .setDiedAlone(suspect.crashedInIsolation())
                .setRemainingNanos(suspect.remaining().toNanos())
                .build();
    }

    private static PeerMessage.Suspect decode(PeerProto.Suspect suspect) {
        List<UpstreamId> crashedUpstreams =
                suspect.getLostList().stream().map(UpstreamId::new).toList();
        return new PeerMessage.Suspect(
                suspect.getFingerprint(),
                crashedUpstreams,
                suspect.getDiedAlone(),
                Duration.ofNanos(suspect.getRemainingNanos()));
    }
}
