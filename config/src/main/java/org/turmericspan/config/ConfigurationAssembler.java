package org.turmericspan.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.RuleId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/** Builds a configuration from parsed objects, and checks uniqueness and references across the whole set. */
final class ConfigurationAssembler {
    private static final String STATE_IN = "in";
    private static final String STATE_OUT = "out";
    private static final int MAX_SLOTS = 1_000;
    private static final int MAX_PROBES_PER_SECOND = 10_000;
    private static final int MAX_QUEUE_LIMIT = 100_000;
    private static final int MAX_DEADLINE_MILLIS = 600_000;
    private static final int MAX_PATH_PREFIX_LENGTH = 200;
    private static final int MAX_PERCENT = 100;
    private static final int MAX_BUFFER_BYTES = 16 * 1024 * 1024;
    private static final int DEFAULT_SLOTS = 3;
    private static final int DEFAULT_RAMP_SUCCESSES = 5;
    private static final int DEFAULT_PROBES_PER_SECOND = 20;
    private static final int DEFAULT_QUEUE_LIMIT = 500;
    private static final int DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final int DEFAULT_LONGEST_LEASE_MILLIS = 30_000;
    private static final int DEFAULT_RETRY_PERCENT = 10;
    private static final int DEFAULT_BUFFER_BYTES = 1024 * 1024;

    private final FaultCollector faults;
    private final Map<AvailabilityZoneId, AvailabilityZone> zones = new LinkedHashMap<>();
    private final Map<ServiceId, Service> services = new LinkedHashMap<>();
    private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
    private final Map<RuleId, Rule> rules = new LinkedHashMap<>();
    private final Map<VmId, Boolean> vms = new LinkedHashMap<>();
    private final Map<Object, String> holdersByUniqueValue = new HashMap<>();
    private final List<Runnable> referenceChecks = new ArrayList<>();

    ConfigurationAssembler(FaultCollector faults) {
        this.faults = faults;
    }

    Configuration assemble(ConfigurationVersion version, String document, List<ObjectSource> objects) {
        objects.forEach(this::readObject);
        referenceChecks.forEach(Runnable::run);
        if (faults.count() > 0) {
            throw new InvalidConfigurationException(faults.toList());
        }
        Set<VmId> vmsOutOfService = new HashSet<>(vms.keySet());
        vmsOutOfService.removeIf(vms::get);
        return new Configuration(
                version, document, zones, services, upstreams, List.copyOf(rules.values()), vmsOutOfService);
    }

    FieldReader readObject(ObjectSource object) {
        FieldReader reader = new FieldReader(object, faults);
        int faultsBefore = faults.count();
        Optional<ObjectKind> kind = ObjectKind.of(reader.kind());
        if (kind.isEmpty()) {
            reader.fault("kind", "takes one of " + ObjectKind.allKindNames());
            return reader;
        }
        switch (kind.get()) {
            case AVAILABILITY_ZONE -> readZone(reader, faultsBefore);
            case SERVICE -> readService(reader, faultsBefore);
            case UPSTREAM -> readUpstream(reader, faultsBefore);
            case RULE -> readRule(reader, faultsBefore);
            case VM -> readVm(reader, faultsBefore);
            default -> throw new IllegalStateException("An object kind has no reader");
        }
        return reader;
    }

    private void readZone(FieldReader reader, int faultsBefore) {
        AvailabilityZoneId id = reader.name(AvailabilityZoneId::new);
        RegionId region = reader.required("region", RegionId::new);
        Boolean inService = readState(reader);
        reader.rejectUnknownFields();
        if (faults.count() == faultsBefore) {
            put(zones, id, new AvailabilityZone(id, region, inService), reader);
        }
    }

    private void readService(FieldReader reader, int faultsBefore) {
        ServiceId id = reader.name(ServiceId::new);
        int slots = reader.number("slots_per_upstream", DEFAULT_SLOTS, 1, MAX_SLOTS);
        Service service = new Service(
                id,
                slots,
                reader.number("cold_requests", 1, 1, MAX_SLOTS),
                reader.number("extra_depth", 1, 0, MAX_SLOTS),
                reader.number("ramp_successes", DEFAULT_RAMP_SUCCESSES, 1, MAX_SLOTS),
                reader.number("probes_per_second", DEFAULT_PROBES_PER_SECOND, 0, MAX_PROBES_PER_SECOND),
                reader.number("queue_limit", DEFAULT_QUEUE_LIMIT, 0, MAX_QUEUE_LIMIT),
                reader.millis("default_deadline_ms", DEFAULT_DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS),
                reader.millis("longest_lease_ms", DEFAULT_LONGEST_LEASE_MILLIS, 1, MAX_DEADLINE_MILLIS),
                reader.number("retry_percent", DEFAULT_RETRY_PERCENT, 0, MAX_PERCENT),
                reader.number("body_limit_bytes", DEFAULT_BUFFER_BYTES, 0, MAX_BUFFER_BYTES),
                reader.number("answer_limit_bytes", DEFAULT_BUFFER_BYTES, 1, MAX_BUFFER_BYTES));
        if (service.coldRequests() > slots) {
            reader.fault("cold_requests", "must not exceed slots_per_upstream");
        }
        if (service.defaultDeadline().compareTo(service.longestLease()) > 0) {
            reader.fault("default_deadline_ms", "must not exceed longest_lease_ms");
        }
        reader.rejectUnknownFields();
        if (faults.count() == faultsBefore) {
            put(services, id, service, reader);
        }
    }

    private void readUpstream(FieldReader reader, int faultsBefore) {
        UpstreamId id = reader.name(UpstreamId::new);
        ServiceId service = reader.required("service", ServiceId::new);
        AvailabilityZoneId zone = reader.required("availability_zone", AvailabilityZoneId::new);
        SocketAddress address = reader.required("address", SocketAddress::parse);
        VmId vm = reader.optional("vm", id == null ? null : new VmId(id.value()), VmId::new);
        reader.rejectUnknownFields();
        if (faults.count() == faultsBefore) {
            put(upstreams, id, new Upstream(id, service, zone, vm, address), reader);
            requireReference(reader, "service", services, service);
            requireReference(reader, "availability_zone", zones, zone);
            requireUnique(reader, "address", address);
        }
    }

    private void readRule(FieldReader reader, int faultsBefore) {
        RuleId id = reader.name(RuleId::new);
        ServiceId service = reader.required("service", ServiceId::new);
        String method = reader.required("method", ConfigurationAssembler::parseMethod);
        String pathPrefix = reader.optional("path_prefix", "/", ConfigurationAssembler::parsePathPrefix);
        boolean idempotent = reader.flag("idempotent", false);
        boolean tokenRequired = reader.flag("token_required", true);
        reader.rejectUnknownFields();
        if (faults.count() == faultsBefore) {
            put(rules, id, new Rule(id, service, method, pathPrefix, idempotent, tokenRequired), reader);
            requireReference(reader, "service", services, service);
            requireUnique(reader, "path_prefix", service + " " + method + " " + pathPrefix);
        }
    }

    private void readVm(FieldReader reader, int faultsBefore) {
        VmId id = reader.name(VmId::new);
        Boolean inService = readState(reader);
        reader.rejectUnknownFields();
        if (faults.count() == faultsBefore) {
            put(vms, id, inService, reader);
        }
    }

    private static Boolean readState(FieldReader reader) {
        return reader.optional("state", true, ConfigurationAssembler::parseState);
    }

    private static Boolean parseState(String text) {
        if (!text.equals(STATE_IN) && !text.equals(STATE_OUT)) {
            throw new IllegalArgumentException("takes in or out");
        }
        return text.equals(STATE_IN);
    }

    private static String parseMethod(String text) {
        if (!text.matches("[A-Z]{3,10}")) {
            throw new IllegalArgumentException("takes an HTTP method in upper case");
        }
        return text;
    }

    private static String parsePathPrefix(String text) {
        if (!text.matches("/[A-Za-z0-9/_.~:@!$&'()*+,=-]{0," + MAX_PATH_PREFIX_LENGTH + "}")) {
            throw new IllegalArgumentException(
                    "takes a slash followed by unescaped path characters, at most " + MAX_PATH_PREFIX_LENGTH);
        }
        return text;
    }

    private static <K, V> void put(Map<K, V> objects, K id, V object, FieldReader reader) {
        if (objects.putIfAbsent(id, object) != null) {
            reader.fault("name", "is used twice");
        }
    }

    /** Records a fault when another object of the set already uses a value that must be unique. */
    private void requireUnique(FieldReader reader, String field, Object value) {
        String holder = holdersByUniqueValue.putIfAbsent(value, reader.displayName());
        if (holder != null) {
            reader.fault(field, "is already used by " + holder);
        }
    }

    private <K> void requireReference(FieldReader reader, String field, Map<K, ?> targets, K target) {
        referenceChecks.add(() -> {
            if (!targets.containsKey(target)) {
                reader.fault(field, "names " + target + ", which is not in the set");
            }
        });
    }
}
