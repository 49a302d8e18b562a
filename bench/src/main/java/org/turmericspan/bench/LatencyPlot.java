package org.turmericspan.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.turmericspan.bench.load.Timeline;

/** Plots the 99th percentile of latency over time and marks the events of the scenario. */
final class LatencyPlot {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 500;

    private LatencyPlot() {}

    static void write(Report report, Path file) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("99th percentile in spans of " + Timeline.SPAN.toMillis() + " ms")
                .xAxisTitle("seconds")
                .yAxisTitle("ms")
                .build();
        report.timelines().forEach((policy, timeline) -> addSeries(chart, policy, timeline.p99()));
        for (Report.Event event : report.events()) {
            chart.addAnnotation(new AnnotationLine(event.seconds(), true, false));
        }
        chart.setTitle(chart.getTitle() + eventTitle(report));
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void addSeries(XYChart chart, String policy, List<Timeline.Point> points) {
        if (points.isEmpty()) {
            return;
        }
        double[] seconds = points.stream().mapToDouble(Timeline.Point::seconds).toArray();
        double[] millis = points.stream().mapToDouble(Timeline.Point::millis).toArray();
        chart.addSeries(policy, seconds, millis).setMarker(SeriesMarkers.NONE);
    }

    private static String eventTitle(Report report) {
        StringBuilder title = new StringBuilder();
        report.events()
                .forEach(event -> title.append("; ")
                        .append(event.text())
                        .append(" at ")
                        .append(event.seconds())
                        .append(" s"));
        return title.toString();
    }
}
