package org.turmericspan.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.Locale;

/** Writes {@code result.json} and, where there is a timeline, {@code latency.png}. */
final class ReportFiles {
    private static final String RESULT = "result.json";
    private static final String PLOT = "latency.png";

    private ReportFiles() {}

    static void write(BenchSettings settings, Report report) {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        root.set("settings", settingsNode(mapper, settings));
        ObjectNode policies = root.putObject("policies");
        report.policies().forEach((policy, measures) -> {
            ObjectNode node = policies.putObject(policy);
            measures.values().forEach((measure, value) -> node.put(measure.field(), value));
        });
        ArrayNode bounds = root.putArray("bounds");
        report.bounds()
                .forEach(bound -> bounds.addObject()
                        .put("text", bound.text())
                        .put("limit", bound.limit())
                        .put("actual", bound.actual())
                        .put("met", bound.isMet()));
        ArrayNode notes = root.putArray("notes");
        report.notes().forEach(notes::add);
        try {
            Files.createDirectories(settings.out());
            mapper.writerWithDefaultPrettyPrinter()
                    .writeValue(settings.out().resolve(RESULT).toFile(), root);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!report.timelines().isEmpty()) {
            LatencyPlot.write(report, settings.out().resolve(PLOT));
        }
    }

    private static ObjectNode settingsNode(ObjectMapper mapper, BenchSettings settings) {
        return mapper.createObjectNode()
                .put("scenario", settings.scenario())
                .put("seconds", settings.duration().toSeconds())
                .put("seed", settings.seed())
                .put("nodes", settings.nodes())
                .put("upstreams", settings.upstreams())
                .put("preset", settings.preset().name().toLowerCase(Locale.ROOT));
    }
}
