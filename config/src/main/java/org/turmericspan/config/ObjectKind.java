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
    /** A rule on the requests of a service. */
    RULE("Rule"),
    /** A VM that operators take out of service. */
    VM("Vm");

    private final String title;

    ObjectKind(String title) {
        this.title = title;
    }

    /**
     * Returns the kind as documents name it.
     *
     * @return value of the field {@code kind}
     */
    public String title() {
        return title;
    }

    static Optional<ObjectKind> of(String title) {
        return Arrays.stream(values()).filter(kind -> kind.title.equals(title)).findFirst();
    }

    static String allTitles() {
        return Arrays.stream(values()).map(ObjectKind::title).collect(Collectors.joining(", "));
    }
}
