package org.turmericspan.routing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;
import org.turmericspan.messages.PeerMessage;

/**
 * Replays recorded events, one JSON object per line, through the slot engine of a node. A line with {@code expect}
 * states the requests granted since the previous such line, or the state of an upstream.
 *
 * <p>The event and the key {@code wish} denote a slot request and its number; the key {@code asked} lists the upstreams
 * of a lease query.
 */
final class TraceReplay {
    private static final VmId SELF = new VmId("entry-0");

    private final ObjectMapper mapper = new ObjectMapper();
    private final SlotEngine engine;
    private final Map<Long, LeaseId> leases = new HashMap<>();
    private final Set<Long> granted = new TreeSet<>();
    private final List<String> differences = new ArrayList<>();
    private long revision;

    TraceReplay(SlotRules rules) {
        this.engine = new SlotEngine(SELF, new Incarnation(1), rules);
    }

    /** Replays a resource and returns the lines whose outcome differs from the expected one. */
    List<String> run(String resource) {
        try (var stream = TraceReplay.class.getResourceAsStream(resource)) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            for (String line : text.lines().toList()) {
                replayLine(mapper.readTree(line));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return differences;
    }

    private void replayLine(JsonNode line) {
        long nowNanos = Duration.ofMillis(1 + line.path("at_ms").asLong()).toNanos();
        if (line.has("expect")) {
            check(line, nowNanos);
            return;
        }
        for (SlotAction action : engine.handle(event(line, nowNanos), nowNanos)) {
            if (action instanceof SlotAction.Grant grant) {
                granted.add(grant.requestId().number());
                leases.put(grant.requestId().number(), grant.slot().lease());
            }
        }
    }

    private SlotEvent event(JsonNode line, long nowNanos) {
        return switch (line.path("event").asText()) {
            case "map" -> new SlotEvent.OwnershipChanged(ownershipMap(line));
            case "wish" ->
                new SlotEvent.SlotRequested(
                        new SlotRequestId(
                                new VmId(line.path("from").asText("entry-0")),
                                line.path("wish").asLong()),
                        Fixtures.slotRequest(
                                nowNanos + Duration.ofSeconds(1).toNanos(),
                                line.path("idle_only").asBoolean()));
            case "return" -> new SlotEvent.Returned(leases.get(line.path("wish").asLong()), slotReturn(line));
            case "probe" ->
                new SlotEvent.ProbeResultReceived(
                        new UpstreamId(line.path("upstream").asText()), signals(line));
            case "held" ->
                new SlotEvent.LeaseReportReceived(
                        new VmId(line.path("from").asText()),
                        upstreamIds(line.path("asked")),
                        upstreamIds(line.path("held")));
            case "handover" ->
                new SlotEvent.HandedOver(
                        new VmId(line.path("from").asText()),
                        new PeerMessage.Handover(
                                new UpstreamId(line.path("upstream").asText()),
                                line.path("warm").asBoolean(),
                                line.path("allowance").asInt(),
                                Optional.empty(),
                                List.of()));
            default ->
                new SlotEvent.Ticked(
                        Duration.ofMillis(1 + line.path("confirmed_ms").asLong())
                                .toNanos());
        };
    }

    private OwnershipMap ownershipMap(JsonNode line) {
        revision++;
        Set<VmId> outOfService = vms(line.path("out"));
        Set<VmId> leaving = vms(line.path("leaving"));
        List<Upstream> upstreams = new ArrayList<>();
        List<Vm> listed = new ArrayList<>();
        line.path("upstreams").forEach(name -> upstreams.add(Fixtures.upstream(name.asText(), Fixtures.zone(0))));
        line.path("entry_vms").forEach(name -> listed.add(Fixtures.entryVm(name.asText(), zoneOf(name.asText()))));
        upstreams.forEach(upstream -> listed.add(Fixtures.upstreamVm(upstream, leaving.contains(upstream.vm()))));
        return OwnershipMap.of(
                Fixtures.configuration(revision, upstreams, Fixtures.service(3, 1), outOfService),
                Fixtures.view(revision, listed));
    }

    private static AvailabilityZoneId zoneOf(String entryVm) {
        return Fixtures.zone(entryVm.equals(SELF.value()) ? 0 : 1);
    }

    private static SlotReturn slotReturn(JsonNode line) {
        return new SlotReturn(
                SlotReturn.Outcome.valueOf(line.path("outcome").asText("ANSWERED")),
                Duration.ofMillis(line.path("elapsed_ms").asLong()),
                signals(line));
    }

    private static UpstreamSignals signals(JsonNode line) {
        return new UpstreamSignals(
                OptionalInt.empty(),
                line.path("cold").asBoolean(),
                line.path("says_leaving").asBoolean(),
                Optional.ofNullable(line.path("incarnation").asText(null)));
    }

    private void check(JsonNode line, long nowNanos) {
        JsonNode expected = line.path("expect");
        if (expected.has("granted")) {
            Set<Long> numbers = new TreeSet<>();
            expected.path("granted").forEach(number -> numbers.add(number.asLong()));
            recordDifference(line, numbers.equals(granted), "granted " + granted);
            granted.clear();
        }
        if (expected.has("phase")) {
            UpstreamId upstream = new UpstreamId(expected.path("upstream").asText());
            UpstreamState state = engine.describe(nowNanos).stream()
                    .filter(described -> described.upstream().equals(upstream))
                    .findFirst()
                    .orElseThrow();
            boolean matches = state.phase().name().equals(expected.path("phase").asText())
                    && state.limit() == expected.path("limit").asInt();
            recordDifference(line, matches, state.phase() + " with limit " + state.limit());
        }
    }

    private void recordDifference(JsonNode line, boolean matches, String found) {
        if (!matches) {
            differences.add(line + ": " + found);
        }
    }

    private static Set<VmId> vms(JsonNode names) {
        return StreamSupport.stream(names.spliterator(), false)
                .map(name -> new VmId(name.asText()))
                .collect(Collectors.toSet());
    }

    private static List<UpstreamId> upstreamIds(JsonNode names) {
        return StreamSupport.stream(names.spliterator(), false)
                .map(name -> new UpstreamId(name.asText()))
                .toList();
    }
}
