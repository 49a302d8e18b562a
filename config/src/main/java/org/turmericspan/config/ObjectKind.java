package org.turmericspan.config;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** Kinds of published objects. */
public enum ObjectKind {
    /** An availability zone. */
    AVAILABILITY_ZONE("AvailabilityZone"),
    /** A service. */
    SERVICE("Service"),
    /** An upstream. */
    UPSTREAM("Upstream"),
    /** A rule that states whether some requests of a service are idempotent. */
    RULE("Rule"),
    /** A VM that operators may take out of service. */
    VM("Vm");

    private final String kindName;

    ObjectKind(String kindName) {
        this.kindName = kindName;
    }

    /**
     * Returns the name of the kind in documents.
     *
     * @return the value of the field {@code kind}
     */
    public String kindName() {
        return kindName;
    }

    static Optional<ObjectKind> of(String kindName) {
        return Arrays.stream(values())
                .filter(kind -> kind.kindName.equals(kindName))
                .findFirst();
    }

    static String allKindNames() {
        return Arrays.stream(values()).map(ObjectKind::kindName).collect(Collectors.joining(", "));
    }
}
