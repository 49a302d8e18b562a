package org.turmericspan.node;

import java.util.List;
import java.util.stream.Collectors;
import org.turmericspan.errors.ResultCode;

/** Says that the settings are not accepted, with every fault found. */
final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingFault> faults;

    InvalidSettingsException(List<SettingFault> faults) {
        super(faults.stream().map(SettingFault::toString).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    List<SettingFault> faults() {
        return faults;
    }

    ResultCode code() {
        return ResultCode.INVALID_SETTING;
    }
}
