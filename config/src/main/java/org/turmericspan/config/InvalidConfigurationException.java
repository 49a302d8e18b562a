package org.turmericspan.config;

import java.util.List;
import java.util.stream.Collectors;
import org.turmericspan.errors.ResultCode;

/** Thrown when a set of objects is rejected. Names every fault found in it. */
public final class InvalidConfigurationException extends RuntimeException {
    private final transient List<Fault> faults;

    /**
     * Creates an exception.
     *
     * @param faults every fault found, at least one
     */
    public InvalidConfigurationException(List<Fault> faults) {
        super(ResultCode.INVALID_CONFIGURATION.number() + " " + ResultCode.INVALID_CONFIGURATION.sentence() + " "
                + faults.stream().map(Fault::toString).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns every fault found.
     *
     * @return at least one fault
     */
    public List<Fault> faults() {
        return faults;
    }

    /**
     * Returns the result code.
     *
     * @return {@link ResultCode#INVALID_CONFIGURATION}
     */
    public ResultCode code() {
        return ResultCode.INVALID_CONFIGURATION;
    }
}
