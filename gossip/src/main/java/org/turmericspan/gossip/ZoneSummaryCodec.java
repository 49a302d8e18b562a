package org.turmericspan.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.zones.ServiceSummary;
import org.turmericspan.zones.ZoneReport;
import org.turmericspan.zones.ZoneSummary;

/**
 * Encodes and decodes the part of a gossip message that tells of demand and room. Zones are sent as their positions in
 * the zones of the message's members; a report of another zone is left out.
 */
final class ZoneSummaryCodec {
    private static final double HUNDREDTHS = 100.0;
    private static final long MAX_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);

    private ZoneSummaryCodec() {}

    static void write(ZoneSummary summary, List<AvailabilityZoneId> zones, CodedOutputStream output, long nowNanos)
            throws IOException {
        output.writeUInt32NoTag(summary.services().size());
        for (ServiceSummary service : summary.services()) {
            output.writeFixed64NoTag(service.serviceHash());
            output.writeUInt32NoTag(hundredths(service.ownDemandSlots()));
            List<ZoneReport> reports = new ArrayList<>();
            for (ZoneReport report : service.zones()) {
                if (zones.contains(report.zone())) {
                    reports.add(report);
                }
            }
            output.writeUInt32NoTag(reports.size());
            for (ZoneReport report : reports) {
                output.writeUInt32NoTag(zones.indexOf(report.zone()));
                output.writeUInt64NoTag(GossipCodec.ageMillis(report.atNanos(), nowNanos));
                output.writeUInt32NoTag(hundredths(report.demandSlots()));
                output.writeUInt32NoTag(hundredths(report.roomSlots()));
            }
        }
    }

    static ZoneSummary read(CodedInputStream input, List<AvailabilityZoneId> zones, long nowNanos) throws IOException {
        List<ServiceSummary> services = new ArrayList<>();
        int serviceCount = readAtMost(input, ZoneSummary.MAX_SERVICES);
        for (int i = 0; i < serviceCount; i++) {
            long hash = input.readFixed64();
            double ownDemandSlots = readSlots(input);
            List<ZoneReport> reports = new ArrayList<>();
            int reportCount = readAtMost(input, ZoneSummary.MAX_ZONES);
            for (int j = 0; j < reportCount; j++) {
                AvailabilityZoneId zone = zones.get(input.readUInt32());
                long ageMillis = input.readUInt64();
                if (ageMillis < 0 || ageMillis > MAX_AGE_MILLIS) {
                    throw new IOException("age of a report out of range");
                }
                long atNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
                reports.add(new ZoneReport(zone, readSlots(input), readSlots(input), atNanos));
            }
            services.add(new ServiceSummary(hash, ownDemandSlots, reports));
        }
        return new ZoneSummary(services);
    }

    private static int hundredths(double slots) {
        return (int) Math.round(Math.min(Integer.MAX_VALUE, HUNDREDTHS * Math.max(0, slots)));
    }

    private static double readSlots(CodedInputStream input) throws IOException {
        return readAtMost(input, Integer.MAX_VALUE) / HUNDREDTHS;
    }

    private static int readAtMost(CodedInputStream input, int max) throws IOException {
        int number = input.readUInt32();
        if (number < 0 || number > max) {
            throw new IOException("number out of range");
        }
        return number;
    }
}
